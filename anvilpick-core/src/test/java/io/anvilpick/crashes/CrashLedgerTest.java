package io.anvilpick.crashes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class CrashLedgerTest {
    private final ManualTimeSource time = ManualTimeSource.startingAt(1_000_000);
    private final CrashLedger ledger = new CrashLedger(time);

    private boolean report(String target) {
        return ledger.add(new CrashReport("print", target, time.epochMillis()));
    }

    @Test
    void secondCrashBlocksAndTimeForgives() {
        assertEquals(Verdict.CLEAR, ledger.verdict("print"));
        assertTrue(report("t1"));
        assertEquals(Verdict.SUSPECT, ledger.verdict("print"));
        assertTrue(report("t2"));
        assertEquals(Verdict.BLOCKED, ledger.verdict("print"));
        time.advance(Duration.ofMillis(CrashReport.MEMORY_MILLIS));
        assertEquals(Verdict.CLEAR, ledger.verdict("print"));
        assertTrue(ledger.isEmpty());
    }

    @Test
    void sameCrashToldTwiceCountsOnce() {
        assertTrue(report("t1"));
        time.advance(Duration.ofSeconds(1));
        assertFalse(report("t1"));
        assertEquals(Verdict.SUSPECT, ledger.verdict("print"));
    }

    @Test
    void answerAcquits() {
        report("t1");
        assertTrue(ledger.acquit("print"));
        assertEquals(Verdict.CLEAR, ledger.verdict("print"));
        assertFalse(ledger.acquit("print"));
        assertTrue(ledger.isEmpty());
    }

    @Test
    void reportThatIsOldAlreadyIsNoNews() {
        assertFalse(ledger.add(new CrashReport("print", "t1", time.epochMillis() - CrashReport.MEMORY_MILLIS)));
    }
}
