package io.anvilpick.limits;

import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** Checks that spending and resizing are linearizable. Otherwise two threads could spend the same time. */
public class PacedBudgetLincheckTest {
    private static final long COST_NANOS = 1_000;

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final PacedBudget budget = PacedBudget.perMilleOfSlots(time, 1_000, 1);

    @Operation
    public boolean trySpend() {
        return budget.trySpend(COST_NANOS);
    }

    @Operation
    public void advanceTime(@Param(gen = IntGen.class, conf = "1:3") int halfCosts) {
        time.advance(Duration.ofNanos(halfCosts * COST_NANOS / 2));
    }

    @Operation
    public void resize(@Param(gen = IntGen.class, conf = "1:2") int slots) {
        budget.resize(1_000, slots);
    }

    @Test
    public void isLinearizable() {
        new StressOptions()
                .iterations(20)
                .invocationsPerIteration(300)
                .threads(3)
                .actorsPerThread(3)
                .check(PacedBudgetLincheckTest.class);
    }
}
