package io.anvilpick.allowances;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class TokenBucketTest {
    private static final long SECOND = 1_000_000_000L;

    private static TokenBucket bucket(double rate, double capacity) {
        TokenBucket bucket = new TokenBucket(0);
        bucket.configure(rate, capacity, 0);
        return bucket;
    }

    @Test
    void startsEmptyAndKeepsFractions() {
        TokenBucket bucket = bucket(0.4, 2);
        assertEquals(0, bucket.take(1, 0));
        assertEquals(0, bucket.take(1, 2 * SECOND));
        assertEquals(1, bucket.take(5, 3 * SECOND));
        assertEquals(1, bucket.take(5, 5 * SECOND));
    }

    /** Guards against a token that is missing at the time for which it was announced, because of rounding. */
    @Test
    void hasATokenWhenItAnnouncedOne() {
        TokenBucket bucket = bucket(0.7, 3);
        long now = 0;
        for (int i = 0; i < 1_000; i++) {
            now += bucket.untilNextToken(now).toNanos();
            assertEquals(1, bucket.take(1, now));
        }
        assertEquals(1_000 / 0.7, now / 1e9, 1);
    }

    /** Guards against a burst after the process was suspended. */
    @Test
    void holdsNoMoreThanItsCapacityAfterAPause() {
        TokenBucket bucket = bucket(10, 4);
        assertEquals(4, bucket.take(100, 60 * SECOND));
        assertEquals(0, bucket.take(100, 60 * SECOND));
    }

    @Test
    void ignoresATimeBeforeTheLastUse() {
        TokenBucket bucket = bucket(1, 10);
        assertEquals(5, bucket.take(5, 5 * SECOND));
        assertEquals(0, bucket.take(5, 2 * SECOND));
        assertEquals(1, bucket.take(5, 6 * SECOND));
    }

    @Test
    void lowerLimitCapsTheTokensAtOnce() {
        TokenBucket bucket = bucket(10, 100);
        bucket.configure(1, 3, 10 * SECOND);
        assertEquals(3, bucket.take(100, 10 * SECOND));
        assertEquals(Duration.ofSeconds(1), bucket.untilNextToken(10 * SECOND));
    }

    @Test
    void skippedTimeAddsNothing() {
        TokenBucket bucket = bucket(1, 10);
        bucket.skipTo(8 * SECOND);
        assertEquals(2, bucket.take(10, 10 * SECOND));
    }

    @Test
    void grantsNothingForANegativeNumber() {
        assertEquals(0, bucket(1, 10).take(-3, 10 * SECOND));
    }
}
