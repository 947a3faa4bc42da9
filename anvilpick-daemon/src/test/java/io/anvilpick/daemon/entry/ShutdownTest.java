package io.anvilpick.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class ShutdownTest {
    private static final Duration ACCEPT_TIME = Duration.ofSeconds(1);

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final Shutdown shutdown = new Shutdown(time);

    @Test
    void aLeavingDaemonStillAcceptsRequests() {
        shutdown.leave(Deadline.after(time, ACCEPT_TIME));
        assertTrue(shutdown.isLeaving());
        assertTrue(shutdown.tryBeginRequest());
    }

    @Test
    void aRefusingDaemonFinishesAcceptedRequestsAndAcceptsNoMore() throws Exception {
        assertTrue(shutdown.tryBeginRequest());
        shutdown.refuseRequests();
        assertFalse(shutdown.tryBeginRequest());
        assertFalse(shutdown.awaitIdle(Duration.ZERO));
        assertEquals(1, shutdown.inFlight());
        Thread.ofVirtual().start(shutdown::endRequest);
        assertTrue(shutdown.awaitIdle(Duration.ofMinutes(1)));
    }

    /** Guards against a thread that wakes late and lets the daemon take requests that it has no time for. */
    @Test
    void noRequestIsAcceptedAfterTheTimeForItHoweverLateTheStopGoesOn() {
        shutdown.leave(Deadline.after(time, ACCEPT_TIME));
        time.advance(ACCEPT_TIME.minusMillis(1));
        assertTrue(shutdown.tryBeginRequest());
        assertTrue(shutdown.mayStart());
        time.advance(Duration.ofMillis(1));
        assertFalse(shutdown.tryBeginRequest());
        assertFalse(shutdown.mayStart());
        assertEquals(1, shutdown.inFlight());
    }

    @Test
    void anIdleDaemonDoesNotWait() throws Exception {
        assertTrue(shutdown.awaitIdle(Duration.ZERO));
    }
}
