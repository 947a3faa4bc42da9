package io.anvilpick.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HeldBytesTest {
    private static final long LARGE_BOUND = 24 * 1024 * 1024;
    private static final long STEP = 8 * 1024;

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

    /** Guards against answers without end that use the whole bound, so that sound requests and answers are rejected or cut. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5})
    void answersWithoutEndLeaveRoomForSmallBodies(int answers) {
        HeldBytes large = HeldBytes.atMost(LARGE_BOUND);
        long[] sizes = new long[answers];
        boolean grown = true;
        while (grown) {
            grown = false;
            for (int i = 0; i < answers; i++) {
                if (large.tryHoldAnswer(sizes[i], STEP)) {
                    sizes[i] += STEP;
                    grown = true;
                }
            }
        }
        assertEquals(Arrays.stream(sizes).sum(), large.held());
        assertTrue(large.tryHold(LARGE_BOUND / 64), "a small request body fits");
        assertTrue(large.tryHoldAnswer(0, LARGE_BOUND / 128), "a small answer fits beside it");
    }

    @Test
    void anAnswerMayHoldAsMuchAsItLeavesFree() {
        bytes.hold(20);
        assertTrue(bytes.tryHoldAnswer(0, 40));
        assertFalse(bytes.tryHoldAnswer(40, 1));
        assertEquals(60, bytes.held());
    }

    @Test
    void anAnswerThatIsTheOnlyBodyMayHoldAllButAReserve() {
        assertTrue(bytes.tryHoldAnswer(0, 97));
        assertFalse(bytes.tryHoldAnswer(97, 1));
        bytes.hold(1);
        assertFalse(bytes.tryHoldAnswer(97, 0), "no longer the only body");
    }

    @Test
    void boundMustBePositive() {
        assertThrows(IllegalArgumentException.class, () -> HeldBytes.atMost(0));
    }
}
