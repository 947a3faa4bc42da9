package io.anvilpick.limits;

import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** Checks that deposits and withdrawals are linearizable. Otherwise credit could be spent twice. */
public class ShareBudgetLincheckTest {
    private final ShareBudget budget = ShareBudget.ofPercent(50, 1);

    @Operation
    public void deposit() {
        budget.deposit();
    }

    @Operation
    public boolean tryWithdraw() {
        return budget.tryWithdraw();
    }

    @Test
    public void isLinearizable() {
        new StressOptions()
                .iterations(20)
                .invocationsPerIteration(500)
                .threads(3)
                .actorsPerThread(3)
                .check(ShareBudgetLincheckTest.class);
    }
}
