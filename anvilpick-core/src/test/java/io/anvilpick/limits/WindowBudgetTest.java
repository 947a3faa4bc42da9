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

    private static int takeAll(WindowBudget budget) {
        int taken = 0;
        while (budget.tryTake()) {
            taken++;
        }
        return taken;
    }

    @Test
    void grantsTheShareAndTheAllowance() {
        WindowBudget budget = WindowBudget.of(time, 0.2, 3, WINDOW);
        for (int i = 0; i < 50; i++) {
            budget.earn();
        }
        assertEquals(13, takeAll(budget));
    }

    @Test
    void nothingIsGrantedForRequestsOlderThanTheWindow() {
        WindowBudget budget = WindowBudget.of(time, 0.2, 0, WINDOW);
        for (int i = 0; i < 50; i++) {
            budget.earn();
        }
        time.advance(WINDOW.plusSeconds(1));
        assertFalse(budget.tryTake());
    }

    @Test
    void whatWasTakenIsForgottenAfterTheWindow() {
        WindowBudget budget = WindowBudget.of(time, 0, 4, WINDOW);
        assertEquals(4, takeAll(budget));
        time.advance(WINDOW.minusSeconds(1));
        assertFalse(budget.tryTake());
        time.advance(Duration.ofSeconds(2));
        assertEquals(4, takeAll(budget));
    }

    @Test
    void aSmallerAllowanceHoldsAtOnce() {
        WindowBudget budget = WindowBudget.of(time, 0, 4, WINDOW);
        assertTrue(budget.tryTake());
        budget.setLimits(0, 1);
        assertFalse(budget.tryTake());
    }

    @Test
    void noGrantExceedsTheBoundOfTheWindowThatEndsWithIt() {
        SplittableRandom random = new SplittableRandom(7);
        WindowBudget budget = WindowBudget.of(time, 0.2, 5, WINDOW);
        Deque<Long> requests = new ArrayDeque<>();
        Deque<Long> extras = new ArrayDeque<>();
        for (int step = 0; step < 20_000; step++) {
            time.advance(Duration.ofMillis(random.nextInt(40)));
            long now = time.nanos();
            if (random.nextInt(3) == 0) {
                budget.earn();
                requests.add(now);
            }
            boolean taken = budget.tryTake();
            // The budget's window is longer than the rule's by one bucket, so requests count a little longer too.
            long slack = WINDOW.toNanos() / 39;
            requests.removeIf(at -> at < now - WINDOW.toNanos() - slack);
            extras.removeIf(at -> at < now - WINDOW.toNanos());
            if (taken) {
                extras.add(now);
                assertTrue(extras.size() <= 0.2 * requests.size() + 5, "step " + step);
            }
        }
    }

    @Test
    void refusesFiguresThatMakeNoSense() {
        assertThrows(IllegalArgumentException.class, () -> WindowBudget.of(time, -1, 0, WINDOW));
        assertThrows(IllegalArgumentException.class, () -> WindowBudget.of(time, 0, -1, WINDOW));
        assertThrows(IllegalArgumentException.class, () -> WindowBudget.of(time, 0, 0, Duration.ZERO));
    }

    @Test
    void aNewShareCountsWhatWasSpentBefore() {
        WindowBudget budget = WindowBudget.of(time, 0.2, 0, WINDOW);
        for (int i = 0; i < 50; i++) {
            budget.earn();
        }
        assertEquals(10, takeAll(budget));
        budget.setLimits(0.3, 2);
        assertEquals(7, takeAll(budget));
    }
}
