package io.anvilpick.calls;

import io.anvilpick.routing.Assignment;
import io.anvilpick.routing.Dispatcher;
import io.anvilpick.time.TimeSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Sends an assignment, and for an idempotent call that is late a second one; the first whole answer counts and the other
 * exchange is cancelled. Thread safe.
 */
final class HedgedExchange {
    private final TargetClient targets;
    private final CallEvents events;
    private final TimeSource time;
    private final Finisher finisher;

    /** Is told once how each assignment ended. */
    interface Finisher {
        void finish(Dispatcher dispatcher, Assignment assignment, CallRequest request, TargetReply reply);
    }

    private record Running(Assignment assignment, Exchange exchange) {}

    HedgedExchange(TargetClient targets, CallEvents events, TimeSource time, Finisher finisher) {
        this.targets = targets;
        this.events = events;
        this.time = time;
        this.finisher = finisher;
    }

    /** Blocks until an answer is there, or every exchange has failed; a caller that goes away cancels all. */
    Attempt run(Dispatcher dispatcher, Assignment first, CallRequest request) throws InterruptedException {
        BlockingQueue<Attempt> arrivals = new LinkedBlockingQueue<>();
        List<Running> running = new ArrayList<>();
        running.add(start(dispatcher, first, request, arrivals));
        try {
            Attempt early = awaitBeforeHedge(dispatcher, first, arrivals);
            if (early != null) {
                return early;
            }
            Optional<Assignment> second = dispatcher.hedge(first);
            if (second.isPresent()) {
                events.hedged(request.service());
                running.add(start(dispatcher, second.get(), request, arrivals));
            }
            return firstAnswer(arrivals, running.size());
        } finally {
            for (Running each : running) {
                each.exchange().cancel();
            }
        }
    }

    private Running start(
            Dispatcher dispatcher, Assignment assignment, CallRequest request, BlockingQueue<Attempt> arrivals) {
        Exchange exchange = targets.send(assignment.target(), request);
        exchange.reply().thenAccept(reply -> {
            finisher.finish(dispatcher, assignment, request, reply);
            arrivals.add(new Attempt(assignment, reply));
        });
        return new Running(assignment, exchange);
    }

    /** Returns what arrives before the call counts as late, or null; a call that is never hedged waits to its end. */
    private Attempt awaitBeforeHedge(Dispatcher dispatcher, Assignment first, BlockingQueue<Attempt> arrivals)
            throws InterruptedException {
        long hedgeDelay = dispatcher.hedgeDelayNanos(first.call().request());
        if (!first.call().request().idempotent() || hedgeDelay <= 0) {
            return arrivals.take();
        }
        long elapsed = time.nanos() - first.startedNanos();
        return arrivals.poll(Math.max(1, hedgeDelay - elapsed), TimeUnit.NANOSECONDS);
    }

    private static Attempt firstAnswer(BlockingQueue<Attempt> arrivals, int expected) throws InterruptedException {
        Attempt last = arrivals.take();
        for (int seen = 1; seen < expected; seen++) {
            if (last.reply() instanceof TargetReply.Answered) {
                return last;
            }
            last = arrivals.take();
        }
        return last;
    }
}
