package io.anvilpick.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class WindowBudgetTest {
    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);

    private static int withdrawAll(WindowBudget budget) {
        int withdrawn = 0;
        while (budget.tryWithdraw()) {
            withdrawn++;
        }
        return withdrawn;
    }

    @Test
    void grantsTheRatioAndTheAllowance() {
        WindowBudget budget = WindowBudget.of(time, 0.2, 3, WINDOW);
        for (int i = 0; i < 50; i++) {
            budget.deposit();
        }
        assertEquals(13, withdrawAll(budget));
    }

    @Test
    void ordinaryCallsOlderThanTheWindowGrantNothing() {
        WindowBudget budget = WindowBudget.of(time, 0.2, 0, WINDOW);
        for (int i = 0; i < 50; i++) {
            budget.deposit();
        }
        time.advance(WINDOW.plusSeconds(1));
        assertFalse(budget.tryWithdraw());
    }

    @Test
    void extraCallsOlderThanTheWindowNoLongerCount() {
        WindowBudget budget = WindowBudget.of(time, 0, 4, WINDOW);
        assertEquals(4, withdrawAll(budget));
        time.advance(WINDOW.minusSeconds(1));
        assertFalse(budget.tryWithdraw());
        time.advance(Duration.ofSeconds(2));
        assertEquals(4, withdrawAll(budget));
    }

    @Test
    void smallerAllowanceAppliesAtOnce() {
        WindowBudget budget = WindowBudget.of(time, 0, 4, WINDOW);
        assertTrue(budget.tryWithdraw());
        budget.setLimits(0, 1);
        assertFalse(budget.tryWithdraw());
    }

    @Test
    void noGrantExceedsTheBoundOfTheWindowEndingWithIt() {
        SplittableRandom random = new SplittableRandom(7);
        WindowBudget budget = WindowBudget.of(time, 0.2, 5, WINDOW);
        Deque<Long> ordinaryCalls = new ArrayDeque<>();
        Deque<Long> extraCalls = new ArrayDeque<>();
        for (int step = 0; step < 20_000; step++) {
            time.advance(Duration.ofMillis(random.nextInt(40)));
            long now = time.nanos();
            if (random.nextInt(3) == 0) {
                budget.deposit();
                ordinaryCalls.add(now);
            }
            boolean withdrawn = budget.tryWithdraw();
            // The budget's window may exceed the nominal one by one bucket, and ordinary calls count for that long.
            long slack = WINDOW.toNanos() / 39;
            ordinaryCalls.removeIf(at -> at < now - WINDOW.toNanos() - slack);
            extraCalls.removeIf(at -> at < now - WINDOW.toNanos());
            if (withdrawn) {
                extraCalls.add(now);
                assertTrue(extraCalls.size() <= 0.2 * ordinaryCalls.size() + 5, "step " + step);
            }
        }
    }

    @Test
    void invalidArgumentsAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> WindowBudget.of(time, -1, 0, WINDOW));
        assertThrows(IllegalArgumentException.class, () -> WindowBudget.of(time, 0, -1, WINDOW));
        assertThrows(IllegalArgumentException.class, () -> WindowBudget.of(time, 0, 0, Duration.ZERO));
    }

    @Test
    void newLimitsCountEarlierCalls() {
        WindowBudget budget = WindowBudget.of(time, 0.2, 0, WINDOW);
        for (int i = 0; i < 50; i++) {
            budget.deposit();
        }
        assertEquals(10, withdrawAll(budget));
        budget.setLimits(0.3, 2);
        assertEquals(7, withdrawAll(budget));
    }
}
