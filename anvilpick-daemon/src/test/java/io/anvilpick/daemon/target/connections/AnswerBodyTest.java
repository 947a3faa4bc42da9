package io.anvilpick.daemon.target.connections;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AnswerBodyTest {
    private static final int SEGMENT_BYTES = 64 * 1024;

    private final AnswerBody body = new AnswerBody();

    @Test
    void anEmptyBodyHasNoBytes() {
        assertEquals(0, body.size());
        assertEquals(0, body.toByteArray().length);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 8_192, 100_000, 1_000_000})
    void returnsTheBytesOfAllPartsInOrder(int maxPart) {
        SplittableRandom random = new SplittableRandom(maxPart);
        byte[] whole = new byte[300_000];
        random.nextBytes(whole);
        for (int start = 0; start < whole.length; ) {
            int length = Math.min(random.nextInt(maxPart + 1), whole.length - start);
            body.append(Unpooled.wrappedBuffer(whole, start, length));
            start += length;
        }
        assertEquals(whole.length, body.size());
        assertArrayEquals(whole, body.toByteArray());
    }

    /** Guards against a buffer that doubles: an answer of 17 MB took 50 MB while it grew, and the heap of a daemon ran out. */
    @ParameterizedTest
    @ValueSource(ints = {1, 100, 8_192, 100_000})
    void aGrowingBodyTakesLittleMoreThanItsBytes(int part) {
        for (int parts = 1; body.size() < 3_000_000; parts++) {
            body.append(Unpooled.wrappedBuffer(new byte[part]));
            int unused = body.capacity() - body.size();
            assertTrue(unused <= Math.min(body.size(), SEGMENT_BYTES), parts + " parts: " + unused + " bytes unused");
        }
    }
}
