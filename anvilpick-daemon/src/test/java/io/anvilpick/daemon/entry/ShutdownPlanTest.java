package io.anvilpick.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ShutdownPlanTest {
    /** The platform forgives an answer that the end of the grace cuts off only for requests sent before this. */
    private static final Duration FORGIVEN_UNTIL = Duration.ofSeconds(3);

    @Test
    void noRequestIsTakenSoLateThatTheEndOfTheGraceMayNotCutIt() {
        for (int seconds = 1; seconds <= 60; seconds++) {
            ShutdownPlan plan = ShutdownPlan.within(Duration.ofSeconds(seconds));
            assertTrue(plan.serving().compareTo(FORGIVEN_UNTIL) < 0, plan.toString());
            assertTrue(plan.serving().multipliedBy(2).compareTo(Duration.ofSeconds(seconds)) < 0, plan.toString());
        }
    }

    @Test
    void theProcessEndsBeforeItIsKilled() {
        assertEquals(
                Duration.ofMillis(5_300),
                ShutdownPlan.within(Duration.ofSeconds(6)).ending());
    }

    @Test
    void refusesAGraceThatIsNone() {
        assertThrows(IllegalArgumentException.class, () -> ShutdownPlan.within(Duration.ZERO));
    }
}
