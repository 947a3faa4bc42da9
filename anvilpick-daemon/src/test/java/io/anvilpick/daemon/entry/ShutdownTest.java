package io.anvilpick.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class ShutdownTest {
    private final Shutdown shutdown = new Shutdown();

    @Test
    void aLeavingDaemonStillAcceptsRequests() {
        shutdown.leave();
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

    @Test
    void anIdleDaemonDoesNotWait() throws Exception {
        assertTrue(shutdown.awaitIdle(Duration.ZERO));
    }
}
