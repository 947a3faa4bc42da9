package io.anvilpick.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.io.File;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a daemon that has no memory left and neither serves nor ends (review case 6). */
class HeapGuardTest {
    private static final int EXIT_CODE = 71;

    private final Deque<Boolean> heapIsFull = new ArrayDeque<>();
    private final List<String> events = new ArrayList<>();
    private final HeapGuard guard = new HeapGuard(this::check, this::pause, () -> events.add("end"));

    private void check() {
        if (heapIsFull.remove()) {
            throw new OutOfMemoryError("test");
        }
    }

    private void pause() throws InterruptedException {
        if (heapIsFull.isEmpty()) {
            throw new InterruptedException();
        }
    }

    private void runWith(Boolean... checks) {
        heapIsFull.addAll(ImmutableList.copyOf(checks));
        guard.run();
        assertTrue(heapIsFull.isEmpty());
    }

    @Test
    void endsTheProcessOnceTheHeapStaysFull() {
        runWith(false, true, true, true);
        assertEquals(List.of("end"), events);
    }

    @Test
    void survivesAHeapThatIsFullForAMoment() {
        runWith(true, true, false, true, true);
        assertTrue(Thread.interrupted());
        assertEquals(List.of(), events);
    }

    /** Fills the heap of a JVM of its own, where the threads that allocate survive their errors as those of a daemon do. */
    @Test
    @Timeout(60)
    void aProcessWithAFullHeapEnds() throws Exception {
        String java = System.getProperty("java.home") + File.separator + "bin" + File.separator + "java";
        Process process = new ProcessBuilder(
                        java,
                        "-Xmx32m",
                        "-XX:+UseSerialGC",
                        "-cp",
                        System.getProperty("java.class.path"),
                        FullHeap.class.getName())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        try {
            assertTrue(process.waitFor(40, TimeUnit.SECONDS), "the process still runs");
            assertEquals(EXIT_CODE, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
        assertFalse(process.isAlive());
    }

    /** A program that fills its heap and goes on after each error, as the loops of a daemon do. */
    static final class FullHeap {
        private FullHeap() {}

        public static void main(String[] args) {
            HeapGuard.start(() -> Runtime.getRuntime().halt(EXIT_CODE));
            List<byte[]> held = new ArrayList<>();
            int size = 1 << 20;
            while (true) {
                try {
                    if (size > 0) {
                        held.add(new byte[size]);
                    } else {
                        LockSupport.park();
                    }
                } catch (OutOfMemoryError e) {
                    size /= 2;
                }
            }
        }
    }
}
