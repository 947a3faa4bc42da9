package io.anvilpick.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class CrashHistoryTest {
    private final ManualTimeSource time = ManualTimeSource.startingAt(1_000_000);
    private final CrashHistory ledger = new CrashHistory(time);

    private boolean report(String target) {
        return ledger.add(new CrashReport("print", target, time.epochMillis()));
    }

    @Test
    void secondCrashBlocksAndTimeForgives() {
        assertEquals(CrashStatus.CLEAR, ledger.statusOf("print"));
        assertTrue(report("t1"));
        assertEquals(CrashStatus.SUSPECT, ledger.statusOf("print"));
        assertTrue(report("t2"));
        assertEquals(CrashStatus.BLOCKED, ledger.statusOf("print"));
        time.advance(Duration.ofMillis(CrashReport.RETENTION_MILLIS));
        assertEquals(CrashStatus.CLEAR, ledger.statusOf("print"));
        assertTrue(ledger.isEmpty());
    }

    @Test
    void sameCrashToldTwiceCountsOnce() {
        assertTrue(report("t1"));
        time.advance(Duration.ofSeconds(1));
        assertFalse(report("t1"));
        assertEquals(CrashStatus.SUSPECT, ledger.statusOf("print"));
    }

    @Test
    void answerAcquits() {
        report("t1");
        assertTrue(ledger.clear("print"));
        assertEquals(CrashStatus.CLEAR, ledger.statusOf("print"));
        assertFalse(ledger.clear("print"));
        assertTrue(ledger.isEmpty());
    }

    @Test
    void reportThatIsOldAlreadyIsNoNews() {
        assertFalse(ledger.add(new CrashReport("print", "t1", time.epochMillis() - CrashReport.RETENTION_MILLIS)));
    }
}
