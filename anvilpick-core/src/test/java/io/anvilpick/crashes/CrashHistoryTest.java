package io.anvilpick.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class CrashHistoryTest {
    private final ManualTimeSource time = ManualTimeSource.startingAt(1_000_000);
    private final CrashHistory history = new CrashHistory(time);

    private boolean report(String target) {
        return history.add(new CrashReport("print", target, time.epochMillis()));
    }

    @Test
    void secondCrashBlocksUntilReportsExpire() {
        assertEquals(CrashStatus.CLEAR, history.statusOf("print"));
        assertTrue(report("t1"));
        assertEquals(CrashStatus.SUSPECT, history.statusOf("print"));
        assertTrue(report("t2"));
        assertEquals(CrashStatus.BLOCKED, history.statusOf("print"));
        time.advance(Duration.ofMillis(CrashReport.RETENTION_MILLIS));
        assertEquals(CrashStatus.CLEAR, history.statusOf("print"));
        assertTrue(history.isEmpty());
    }

    @Test
    void sameCrashReportedTwiceCountsOnce() {
        assertTrue(report("t1"));
        time.advance(Duration.ofSeconds(1));
        assertFalse(report("t1"));
        assertEquals(CrashStatus.SUSPECT, history.statusOf("print"));
    }

    @Test
    void answerClearsRequest() {
        report("t1");
        assertTrue(history.clear("print"));
        assertEquals(CrashStatus.CLEAR, history.statusOf("print"));
        assertFalse(history.clear("print"));
        assertTrue(history.isEmpty());
    }

    @Test
    void expiredReportIsNotAdded() {
        assertFalse(history.add(new CrashReport("print", "t1", time.epochMillis() - CrashReport.RETENTION_MILLIS)));
    }
}
