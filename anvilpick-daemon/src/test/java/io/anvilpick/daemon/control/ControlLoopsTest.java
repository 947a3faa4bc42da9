package io.anvilpick.daemon.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a background loop that ends in silence at an error. */
@Timeout(60)
class ControlLoopsTest {
    private static final ControlLoops.Parts NO_PARTS = new ControlLoops.Parts(null, null, null, null, null, null);

    private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();

    /** Returns a source that may be shared. */
    private static RandomGenerator random() {
        return new Random(3);
    }

    @Test
    void eachLoopGoesOnAfterAnErrorOfAnyKind() throws Exception {
        ImmutableList<Throwable> errors = ImmutableList.of(
                new StackOverflowError(), new OutOfMemoryError("full"), new IllegalStateException("fault"));
        List<ControlLoops.Task> tasks = ControlLoops.tasks(NO_PARTS);
        CountDownLatch wentOn = new CountDownLatch(tasks.size());
        List<ControlLoops.Task> failing = tasks.stream()
                .map(task -> new ControlLoops.Task(task.name(), Duration.ofHours(1), failing(errors, wentOn)))
                .toList();
        try (ControlLoops loops = ControlLoops.start(failing, random(), faults::add)) {
            wentOn.await();
        }
        for (ControlLoops.Task task : tasks) {
            assertEquals(
                    errors.size(), faults.stream().filter(task.name()::equals).count(), task.name());
        }
    }

    private static ControlLoops.Step failing(ImmutableList<Throwable> errors, CountDownLatch wentOn) {
        AtomicInteger runs = new AtomicInteger();
        return () -> {
            int run = runs.getAndIncrement();
            if (run == errors.size()) {
                wentOn.countDown();
                return;
            }
            switch (errors.get(run)) {
                case Error error -> throw error;
                case RuntimeException fault -> throw fault;
                default -> throw new AssertionError(run);
            }
        };
    }

    /** The steps that the daemon runs fail here because they have no collaborators. */
    @Test
    void faultOfEachRealStepIsCounted() throws Exception {
        int loopCount = ControlLoops.tasks(NO_PARTS).size();
        Semaphore faulted = new Semaphore(0);
        try (ControlLoops loops = ControlLoops.start(NO_PARTS, random(), name -> {
            faults.add(name);
            faulted.release();
        })) {
            faulted.acquire(loopCount);
        }
    }
}
