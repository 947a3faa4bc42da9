package io.anvilpick.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ShutdownScheduleTest {
    /**
     * The time after the stop signal up to which requests are exempt. The platform tolerates an answer that the end of the grace
     * period cuts off only if its request was sent earlier.
     */
    private static final Duration EXEMPT_SENT_BEFORE = Duration.ofSeconds(3);

    /** Time by which the shutdown hook may begin late after the signal. */
    private static final Duration LATE_BEGIN = Duration.ofMillis(500);

    @Test
    void acceptsRequestsOnlyWhileTheEndOfTheGraceMayCutThem() {
        for (int seconds = 1; seconds <= 60; seconds++) {
            ShutdownSchedule schedule = ShutdownSchedule.within(Duration.ofSeconds(seconds));
            assertTrue(schedule.acceptFor().compareTo(EXEMPT_SENT_BEFORE) < 0, schedule.toString());
            assertTrue(
                    schedule.acceptFor().multipliedBy(2).compareTo(Duration.ofSeconds(seconds)) < 0,
                    schedule.toString());
        }
    }

    /** Guards against a daemon that is short of processor time, begins its stop late and takes requests that are not exempt. */
    @Test
    void acceptsNoRequestAfterTheExemptTimeIfTheStopBeginsHalfASecondLate() {
        for (int seconds = 1; seconds <= 60; seconds++) {
            ShutdownSchedule schedule = ShutdownSchedule.within(Duration.ofSeconds(seconds));
            assertTrue(schedule.acceptFor().plus(LATE_BEGIN).compareTo(EXEMPT_SENT_BEFORE) < 0, schedule.toString());
        }
    }

    @Test
    void theProcessExitsBeforeItIsKilled() {
        assertEquals(
                Duration.ofMillis(5_300),
                ShutdownSchedule.within(Duration.ofSeconds(6)).exitBy());
    }

    @Test
    void lastRefusalsAreSentBeforeTheConnectionsAreClosed() {
        for (int millis = 1; millis <= 20_000; millis += 7) {
            ShutdownSchedule schedule = ShutdownSchedule.within(Duration.ofMillis(millis));
            assertTrue(schedule.answerBy().isPositive(), schedule.toString());
            assertTrue(schedule.answerBy().compareTo(schedule.exitBy()) < 0, schedule.toString());
            assertTrue(schedule.exitBy().compareTo(Duration.ofMillis(millis)) < 0, schedule.toString());
        }
    }

    @Test
    void rejectsAGraceOfZero() {
        assertThrows(IllegalArgumentException.class, () -> ShutdownSchedule.within(Duration.ZERO));
    }
}
