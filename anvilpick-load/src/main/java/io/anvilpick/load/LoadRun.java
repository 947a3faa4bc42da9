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
 * Generates open-loop load: starts each call at its scheduled time, whether or not earlier calls have been answered. A slow
 * system therefore cannot reduce the load that measures it.
 */
final class LoadRun {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final Duration START_DELAY = Duration.ofMillis(200);

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

    /** Returns the run ids of the writes that were answered. */
    Set<String> answeredWrites() {
        return answeredWrites;
    }

    /** Returns the run ids of the writes that were refused as not run. */
    Set<String> refusedWrites() {
        return refusedWrites;
    }

    /** Runs all streams and blocks until the last call has completed. */
    void run() throws InterruptedException {
        SplittableRandom random = new SplittableRandom(settings.seed());
        try (ClientFactory factory = ClientFactory.builder().build();
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            WebClient client = Caller.newClient(factory);
            AddressCache addressCache = new AddressCache(client, settings);
            Caller caller = new Caller(client, addressCache);
            settings.streams().forEach(stream -> addressCache.addresses(stream.service()));
            long startNanos = System.nanoTime() + START_DELAY.toNanos();
            List<Thread> pacers = new ArrayList<>();
            for (CallStream stream : settings.streams()) {
                SplittableRandom streamRandom = random.split();
                pacers.add(Thread.ofPlatform()
                        .name(stream.label())
                        .start(() -> startCalls(stream, caller, threads, startNanos, streamRandom)));
            }
            for (Thread pacer : pacers) {
                pacer.join();
            }
        }
    }

    private void startCalls(
            CallStream stream, Caller caller, ExecutorService threads, long startNanos, SplittableRandom random) {
        long endNanos = startNanos + settings.seconds() * NANOS_PER_SECOND;
        long warmNanos = startNanos + settings.warmupSeconds() * NANOS_PER_SECOND;
        long dueNanos = startNanos;
        for (long number = 0; dueNanos - endNanos < 0; number++) {
            dueNanos += (long) (-Math.log(1 - random.nextDouble()) / stream.perSecond() * NANOS_PER_SECOND);
            long due = dueNanos;
            Caller.ScheduledCall call = Caller.ScheduledCall.create(stream, number);
            sleepUntil(due);
            threads.execute(() -> execute(call, caller, due, due - warmNanos >= 0));
        }
    }

    private void execute(Caller.ScheduledCall call, Caller caller, long dueNanos, boolean recordLatency) {
        try {
            Result result = caller.call(call);
            tallies.get(call.stream()).add(result, System.nanoTime() - dueNanos, recordLatency);
            if (!call.stream().isWrite()) {
                return;
            }
            switch (result) {
                case Result.Answered ignored -> answeredWrites.add(call.runId());
                case Result.NotRun ignored -> refusedWrites.add(call.runId());
                case Result.Unknown ignored -> {}
                case Result.Cut ignored -> {}
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleepUntil(long nanos) {
        try {
            long remaining = nanos - System.nanoTime();
            if (remaining > 0) {
                TimeUnit.NANOSECONDS.sleep(remaining);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
