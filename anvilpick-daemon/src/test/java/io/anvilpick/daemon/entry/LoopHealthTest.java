package io.anvilpick.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a daemon that counts as ready while it serves by an old view because a loop fails again and again. */
class LoopHealthTest {
    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final LoopHealth health = new LoopHealth(time);

    @Test
    void loopThatFailsWithoutASuccessCountsAsStuckUntilItsNextSuccess() {
        health.recordFault("follower");
        time.advance(LoopHealth.STUCK_AFTER.minusMillis(1));
        health.recordFault("follower");
        assertEquals(0, health.stuckLoops());
        time.advance(Duration.ofMillis(1));
        health.recordFault("follower");
        health.recordFault("expiry");
        assertEquals(1, health.stuckLoops());
        health.recordSuccess("follower");
        assertEquals(0, health.stuckLoops());
    }

    @Test
    void successBetweenErrorsStartsTheTimeAnew() {
        for (int i = 0; i < 10; i++) {
            health.recordFault("follower");
            time.advance(LoopHealth.STUCK_AFTER.dividedBy(2));
            health.recordSuccess("follower");
        }
        health.recordFault("follower");
        assertEquals(0, health.stuckLoops());
    }
}
