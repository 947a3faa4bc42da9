package io.anvilpick.fleet;

import static io.anvilpick.fleet.FleetSamples.revision;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class ViewFreshnessTest {
    private static final Duration OVERDUE_AFTER = Duration.ofMillis(1_250);

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final ViewFreshness freshness = new ViewFreshness(time, Duration.ofSeconds(2));

    @Test
    void ageIncludesTheAgeOfTheSource() {
        freshness.recordRead(revision(7), Duration.ofMillis(300));
        time.advance(Duration.ofMillis(200));
        assertEquals(Duration.ofMillis(500), freshness.age());
        assertEquals(revision(7), freshness.revision());
    }

    /** Guards against a revision that stays at the number of an era that is over. */
    @Test
    void revisionsCountWithinTheLatestEra() {
        freshness.recordRead(new StoreRevision(1, 90), Duration.ZERO);
        freshness.recordRead(new StoreRevision(2, 40), Duration.ZERO);
        freshness.recordRead(new StoreRevision(2, 30), Duration.ZERO);
        assertEquals(new StoreRevision(2, 40), freshness.revision());
        freshness.recordRead(new StoreRevision(1, 95), Duration.ZERO);
        assertEquals(new StoreRevision(2, 40), freshness.revision());
    }

    /** Guards against a process that was suspended and takes a response in its socket for current. */
    @Test
    void provenAgeRunsFromTheStartOfTheRead() {
        freshness.recordReadStart();
        time.advance(Duration.ofSeconds(30));
        freshness.recordRead(new StoreRevision(0, 7), Duration.ofMillis(300));
        assertEquals(Duration.ofMillis(300), freshness.age());
        assertEquals(Duration.ofMillis(30_000), freshness.provenAge());
    }

    @Test
    void watchThatBecomesOverdueCountsOnce() {
        freshness.recordWatchStart(OVERDUE_AFTER);
        freshness.check();
        assertEquals(0, freshness.overdueWatches());
        time.advance(OVERDUE_AFTER);
        freshness.check();
        freshness.check();
        freshness.recordWatchEnd();
        freshness.check();
        assertEquals(1, freshness.overdueWatches());
    }

    @Test
    void watchThatEndsOverdueCountsWithoutACheckInBetween() {
        freshness.recordWatchStart(OVERDUE_AFTER);
        time.advance(OVERDUE_AFTER);
        freshness.recordWatchEnd();
        freshness.recordWatchStart(OVERDUE_AFTER);
        freshness.recordWatchEnd();
        assertEquals(1, freshness.overdueWatches());
    }
}
