package io.anvilpick.limits;

import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** Earning and taking behave as if one came after the other, so that no credit is spent twice. */
public class ShareBudgetLincheckTest {
    private final ShareBudget budget = ShareBudget.ofPercent(50, 1);

    @Operation
    public void earn() {
        budget.earn();
    }

    @Operation
    public boolean tryTake() {
        return budget.tryTake();
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
