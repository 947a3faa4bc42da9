package io.anvilpick.limits;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class BudgetTest {
    private static final long PROBE_NANOS = 6_000_000;

    /**
     * Checks that no window of any length contains more than one probe above its budget, whatever the pattern of
     * attempts.
     */
    @Property(tries = 300, seed = "1")
    void pacedBudgetIsKeptInEveryWindow(
            @ForAll @Size(min = 20, max = 200) List<@IntRange(min = 0, max = 400) Integer> pausesMillis,
            @ForAll @IntRange(min = 1, max = 20) int perMille,
            @ForAll @IntRange(min = 1, max = 40) int slots) {
        ManualTimeSource time = ManualTimeSource.startingAt(0);
        PacedBudget budget = PacedBudget.perMilleOfSlots(time, perMille, slots);
        List<Long> spentAt = new ArrayList<>();
        for (int pause : pausesMillis) {
            time.advance(Duration.ofMillis(pause));
            for (int attempt = 0; attempt < 3; attempt++) {
                if (budget.trySpend(PROBE_NANOS)) {
                    spentAt.add(time.nanos());
                }
            }
        }
        double rate = slots * perMille / 1_000.0;
        for (int from = 0; from < spentAt.size(); from++) {
            for (int to = from; to < spentAt.size(); to++) {
                double allowed = (spentAt.get(to) - spentAt.get(from)) * rate / PROBE_NANOS + 1;
                assertTrue(to - from + 1 <= allowed + 1e-6);
            }
        }
    }

    @Test
    void pacedBudgetOfZeroGrantsNothing() {
        PacedBudget budget = PacedBudget.perMilleOfSlots(ManualTimeSource.startingAt(0), 0, 40);
        assertFalse(budget.trySpend(PROBE_NANOS));
    }

    @Property(tries = 300, seed = "2")
    void shareBudgetNeverExceedsItsShare(
            @ForAll @Size(min = 1, max = 500) List<Boolean> steps, @ForAll @IntRange(min = 0, max = 50) int percent) {
        ShareBudget budget = ShareBudget.ofPercent(percent, 5);
        int deposited = 0;
        int withdrawn = 0;
        for (boolean ordinary : steps) {
            if (ordinary) {
                budget.deposit();
                deposited++;
            } else if (budget.tryWithdraw()) {
                withdrawn++;
            }
            assertTrue(withdrawn <= deposited * percent / 100.0 + 5);
        }
    }

    @Test
    void negativePercentageIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> ShareBudget.ofPercent(-1, 0));
    }
}
