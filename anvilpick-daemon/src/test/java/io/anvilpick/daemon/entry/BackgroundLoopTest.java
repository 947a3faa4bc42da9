package io.anvilpick.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against a recurring step, such as following the store, that ends for good at its first error. */
class BackgroundLoopTest {
    private static final Duration PAUSE = Duration.ofSeconds(3);

    private final Deque<Throwable> errors = new ArrayDeque<>();
    private final List<Duration> sleeps = new ArrayList<>();
    private int runs;
    private int faults;
    private boolean reportFails;

    /** Runs the loop until it has run {@code limit} steps. */
    private void run(int limit) {
        BackgroundLoop loop = new BackgroundLoop(
                "test",
                this::step,
                new SplittableRandom(1),
                duration -> {
                    sleeps.add(duration);
                    if (runs == limit) {
                        throw new InterruptedException();
                    }
                },
                () -> {
                    faults++;
                    if (reportFails) {
                        throw new StackOverflowError();
                    }
                });
        assertThrows(InterruptedException.class, loop::run);
    }

    private Duration step() {
        runs++;
        Throwable error = errors.poll();
        switch (error) {
            case null -> {
                return PAUSE;
            }
            case Error fatal -> throw fatal;
            case RuntimeException fault -> throw fault;
            default -> throw new AssertionError(error);
        }
    }

    @Test
    void runsAgainAfterAnErrorOfAnyKind() {
        errors.add(new IllegalStateException("fault"));
        errors.add(new StackOverflowError());
        errors.add(new OutOfMemoryError("full"));
        run(5);
        assertEquals(5, runs);
        assertEquals(3, faults);
        assertEquals(List.of(PAUSE, PAUSE), sleeps.subList(3, 5));
    }

    @Test
    void pauseAfterErrorsGrowsUpToALimitAndStartsAgainAfterASuccess() {
        for (int i = 0; i < 12; i++) {
            errors.add(new IllegalStateException("fault"));
        }
        run(13);
        assertTrue(sleeps.get(0).compareTo(BackgroundLoop.INITIAL_PAUSE_AFTER_ERROR) <= 0);
        assertTrue(sleeps.get(11).compareTo(sleeps.get(0)) > 0);
        assertTrue(sleeps.get(11).compareTo(BackgroundLoop.MAX_PAUSE_AFTER_ERROR) <= 0);
        sleeps.clear();
        runs = 0;
        errors.add(new IllegalStateException("fault"));
        run(1);
        assertTrue(sleeps.get(0).compareTo(BackgroundLoop.INITIAL_PAUSE_AFTER_ERROR) <= 0);
    }

    /** Guards against a loop that ends because an error could not be counted or logged. */
    @Test
    void runsAgainAfterAnErrorThatCannotBeReported() {
        reportFails = true;
        errors.add(new OutOfMemoryError("full"));
        errors.add(new IllegalStateException("fault"));
        run(4);
        assertEquals(4, runs);
        assertEquals(2, faults);
    }
}
