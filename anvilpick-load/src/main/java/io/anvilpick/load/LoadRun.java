package io.anvilpick.load;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Starts calls at times drawn beforehand, whether or not earlier ones have been answered, so that a slow system cannot
 * slow down the callers that measure it.
 */
final class LoadRun {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final Duration START_AHEAD = Duration.ofMillis(200);

    private final LoadSettings settings;
    private final Map<CallStream, Tally> tallies = new LinkedHashMap<>();
    private final Set<String> answeredWrites = ConcurrentHashMap.newKeySet();
    private final Set<String> refusedWrites = ConcurrentHashMap.newKeySet();

    LoadRun(LoadSettings settings) {
        this.settings = settings;
        settings.streams().forEach(stream -> tallies.put(stream, new Tally()));
    }

    Map<CallStream, Tally> tallies() {
        return tallies;
    }

    /** Returns the names of writes whose callers were told that they ran. */
    Set<String> answeredWrites() {
        return answeredWrites;
    }

    /** Returns the names of writes whose callers were told that they did not run. */
    Set<String> refusedWrites() {
        return refusedWrites;
    }

    /** Runs every stream and blocks until the last call has ended. */
    void run() throws InterruptedException {
        SplittableRandom random = new SplittableRandom(settings.seed());
        try (ClientFactory factory = ClientFactory.builder().build();
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            WebClient client = Caller.newClient(factory);
            AddressBook book = new AddressBook(client, settings);
            Caller caller = new Caller(client, book);
            settings.streams().forEach(stream -> book.addresses(stream.service()));
            long startNanos = System.nanoTime() + START_AHEAD.toNanos();
            List<Thread> pacers = new ArrayList<>();
            for (CallStream stream : settings.streams()) {
                SplittableRandom own = random.split();
                pacers.add(Thread.ofPlatform()
                        .name(stream.label())
                        .start(() -> pace(stream, caller, threads, startNanos, own)));
            }
            for (Thread pacer : pacers) {
                pacer.join();
            }
        }
    }

    private void pace(
            CallStream stream, Caller caller, ExecutorService threads, long startNanos, SplittableRandom random) {
        long endNanos = startNanos + settings.seconds() * NANOS_PER_SECOND;
        long warmNanos = startNanos + settings.warmupSeconds() * NANOS_PER_SECOND;
        long dueNanos = startNanos;
        for (long number = 0; dueNanos - endNanos < 0; number++) {
            dueNanos += (long) (-Math.log(1 - random.nextDouble()) / stream.perSecond() * NANOS_PER_SECOND);
            long due = dueNanos;
            Caller.Order order = Caller.Order.create(stream, number);
            sleepUntil(due);
            threads.execute(() -> callAt(order, caller, due, due - warmNanos >= 0));
        }
    }

    private void callAt(Caller.Order order, Caller caller, long dueNanos, boolean timed) {
        try {
            Result result = caller.call(order);
            tallies.get(order.stream()).add(result, System.nanoTime() - dueNanos, timed);
            if (!order.stream().isWrite()) {
                return;
            }
            switch (result) {
                case Result.Answered ignored -> answeredWrites.add(order.runId());
                case Result.NotRun ignored -> refusedWrites.add(order.runId());
                case Result.Unknown ignored -> {}
                case Result.Cut ignored -> {}
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleepUntil(long nanos) {
        try {
            long left = nanos - System.nanoTime();
            if (left > 0) {
                TimeUnit.NANOSECONDS.sleep(left);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
