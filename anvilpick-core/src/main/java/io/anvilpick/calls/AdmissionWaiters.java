package io.anvilpick.calls;

import io.anvilpick.dispatch.Admission;
import io.anvilpick.dispatch.Assignment;
import io.anvilpick.dispatch.Call;
import io.anvilpick.dispatch.CallResult;
import io.anvilpick.dispatch.DispatchResult;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.shard.Shards;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** The threads of calls that wait for a slot, in shards by call. Thread safe. */
final class AdmissionWaiters {
    private static final int SHARDS = 64;

    /** Interval at which a waiting thread runs the dispatcher, in case no other call ends meanwhile. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private final TimeSource time;
    private final Shards<Map<Long, CompletableFuture<Admission>>> waiting = Shards.create(SHARDS, HashMap::new);

    AdmissionWaiters(TimeSource time) {
        this.time = time;
    }

    /**
     * Registers {@code call} and returns the future that completes with its admission. Must be called before the call
     * is submitted to the dispatcher.
     */
    CompletableFuture<Admission> register(Call call) {
        CompletableFuture<Admission> wake = new CompletableFuture<>();
        waiting.withShardOf(call.id(), shard -> shard.put(call.id(), wake));
        return wake;
    }

    void unregister(Call call) {
        waiting.withShardOf(call.id(), shard -> shard.remove(call.id()));
    }

    /** Wakes the threads of the calls that {@code dispatch} assigns or refuses. */
    void wake(DispatchResult dispatch) {
        for (Assignment assignment : dispatch.assigned()) {
            wake(assignment.call(), new Admission.Assigned(assignment));
        }
        for (DispatchResult.Refusal refusal : dispatch.refused()) {
            wake(refusal.call(), new Admission.Refused(refusal.kind()));
        }
    }

    /**
     * Blocks until {@code call} is assigned or refused, as long as it can be answered in time. If the wait ends in any other way,
     * such as an interrupt because the caller has left, the call leaves the queue or gives back its slot.
     */
    Admission await(Call call, CompletableFuture<Admission> wake, Dispatcher dispatcher, LoadProber prober)
            throws InterruptedException {
        try {
            return awaitDecision(call, wake, dispatcher, prober);
        } catch (InterruptedException | RuntimeException | Error e) {
            withdraw(call, wake, dispatcher);
            throw e;
        }
    }

    private Admission awaitDecision(
            Call call, CompletableFuture<Admission> wake, Dispatcher dispatcher, LoadProber prober)
            throws InterruptedException {
        while (true) {
            Optional<ErrorKind> refusal = dispatcher.withdrawIfLate(call);
            if (refusal.isPresent()) {
                return new Admission.Refused(refusal.get());
            }
            long remaining = call.deadline().remainingNanos(time.nanos());
            try {
                return wake.get(Math.clamp(remaining, 1, POLL_INTERVAL.toNanos()), TimeUnit.NANOSECONDS);
            } catch (TimeoutException e) {
                if (dispatcher.tryBeginProbesOfWaiting()) {
                    prober.measure(dispatcher, call, Set.of());
                }
                wake(dispatcher.dispatch());
            } catch (ExecutionException e) {
                throw new IllegalStateException("the admission of a waiting call completed exceptionally", e);
            }
        }
    }

    /**
     * Withdraws a call from the queue. A call that is no longer queued has been assigned or is about to be woken. Its slot, if it
     * has one, is released to another call.
     */
    private void withdraw(Call call, CompletableFuture<Admission> wake, Dispatcher dispatcher) {
        if (dispatcher.cancel(call)) {
            return;
        }
        if (wake.join() instanceof Admission.Assigned assigned) {
            wake(dispatcher.finish(assigned.assignment(), new CallResult.Cancelled()));
        }
    }

    private void wake(Call call, Admission admission) {
        CompletableFuture<Admission> wake = waiting.withShardOf(call.id(), shard -> shard.get(call.id()));
        if (wake != null) {
            wake.complete(admission);
        }
    }
}
