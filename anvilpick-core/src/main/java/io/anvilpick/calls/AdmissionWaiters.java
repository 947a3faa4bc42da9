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
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Wakes the threads of waiting calls when their time has come, in shards by call. Thread safe. */
final class AdmissionWaiters {
    private static final int SHARDS = 64;

    /** Span after which a waiting thread asks the dispatcher again, in case no other call ends meanwhile. */
    private static final Duration ASK_AGAIN_AFTER = Duration.ofMillis(20);

    private final TimeSource time;
    private final Shards<Map<Long, CompletableFuture<Admission>>> waiting = Shards.create(SHARDS, HashMap::new);

    AdmissionWaiters(TimeSource time) {
        this.time = time;
    }

    /** Makes ready to wait for {@code call}; to be called before the call is handed to the dispatcher. */
    CompletableFuture<Admission> enter(Call call) {
        CompletableFuture<Admission> wake = new CompletableFuture<>();
        waiting.withShardOf(call.id(), shard -> shard.put(call.id(), wake));
        return wake;
    }

    void leave(Call call) {
        waiting.withShardOf(call.id(), shard -> shard.remove(call.id()));
    }

    /** Wakes the calls that {@code dispatch} names. */
    void wake(DispatchResult dispatch) {
        for (Assignment assignment : dispatch.assigned()) {
            wake(assignment.call(), new Admission.Assigned(assignment));
        }
        for (Call call : dispatch.expired()) {
            wake(call, new Admission.Refused(ErrorKind.DEADLINE_BEFORE_SEND));
        }
    }

    /** Blocks until {@code call} is assigned or refused, its deadline at the latest. */
    Admission await(Call call, CompletableFuture<Admission> wake, Dispatcher dispatcher, LoadProber scout)
            throws InterruptedException {
        while (true) {
            long remaining = call.deadline().remainingNanos(time.nanos());
            if (remaining <= 0 && dispatcher.cancel(call)) {
                return new Admission.Refused(ErrorKind.DEADLINE_BEFORE_SEND);
            }
            try {
                return wake.get(Math.clamp(remaining, 1, ASK_AGAIN_AFTER.toNanos()), TimeUnit.NANOSECONDS);
            } catch (TimeoutException e) {
                scout.measure(dispatcher, call, Set.of());
                wake(dispatcher.dispatch());
            } catch (InterruptedException e) {
                giveBack(call, wake, dispatcher);
                throw e;
            } catch (ExecutionException e) {
                throw new IllegalStateException("a waiting call was woken with a failure", e);
            }
        }
    }

    /** A call that is no longer waiting has been assigned, or is about to be woken; its slot goes to another call. */
    private void giveBack(Call call, CompletableFuture<Admission> wake, Dispatcher dispatcher) {
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
