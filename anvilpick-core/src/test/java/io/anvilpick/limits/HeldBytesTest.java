package io.anvilpick.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class HeldBytesTest {
    private final HeldBytes bytes = HeldBytes.atMost(100);

    @Test
    void rejectedBodyLeavesTheCountUnchanged() {
        assertTrue(bytes.tryHold(60));
        assertFalse(bytes.tryHold(41));
        assertEquals(60, bytes.held());
        assertTrue(bytes.tryHold(40));
        bytes.release(100);
        assertEquals(0, bytes.held());
    }

    @Test
    void answersCountBeyondTheBoundAndNewBodiesAreRejected() {
        bytes.hold(150);
        assertFalse(bytes.tryHold(0), "not even an empty body while the bound is exceeded");
        bytes.release(50);
        assertTrue(bytes.tryHold(0));
    }

    @Test
    void boundMustBePositive() {
        assertThrows(IllegalArgumentException.class, () -> HeldBytes.atMost(0));
    }
}
