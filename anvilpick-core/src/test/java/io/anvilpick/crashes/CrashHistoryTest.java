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

    /** Guards against a report of a wrong clock that would block a request for longer than others. */
    @Test
    void reportFromTheFutureIsNotAdded() {
        assertFalse(history.add(new CrashReport(
                "print", "t1", time.epochMillis() + Duration.ofHours(1).toMillis())));
        assertTrue(history.isEmpty());
    }

    /** Guards against a heap that fills with the reports of requests that never come again. */
    @Test
    void reportsAreBoundedAndEndWithoutBeingAskedFor() {
        history.add(new CrashReport("killer", "t1", time.epochMillis()));
        history.add(new CrashReport("killer", "t2", time.epochMillis()));
        for (int i = 0; i < 3 * CrashHistory.MAX_REQUESTS; i++) {
            history.add(new CrashReport("suspect " + i, "t1", time.epochMillis()));
        }
        int kept = 0;
        for (int i = 0; i < 3 * CrashHistory.MAX_REQUESTS; i++) {
            kept += history.statusOf("suspect " + i) == CrashStatus.CLEAR ? 0 : 1;
        }
        assertTrue(kept < CrashHistory.MAX_REQUESTS, "kept " + kept);
        assertEquals(CrashStatus.BLOCKED, history.statusOf("killer"));
        time.advance(Duration.ofMillis(CrashReport.RETENTION_MILLIS));
        history.removeExpired();
        assertTrue(history.isEmpty());
    }
}
