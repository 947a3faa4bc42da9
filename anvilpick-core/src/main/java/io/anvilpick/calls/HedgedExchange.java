package io.anvilpick.calls;

import com.google.common.collect.ImmutableSet;
import io.anvilpick.dispatch.Assignment;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.time.Timer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.jspecify.annotations.Nullable;

/**
 * Sends an assignment, and for an idempotent call that is late a second one; the first whole answer counts and the other
 * exchange is cancelled. Thread safe.
 */
final class HedgedExchange {
    private final TargetClient targets;
    private final CallEvents events;
    private final Timer timer;
    private final Finisher finisher;

    /** Is told once how each assignment ended. */
    interface Finisher {
        void finish(Dispatcher dispatcher, Assignment assignment, CallRequest request, TargetReply reply);
    }

    /** What the thread of a call waits for. */
    private sealed interface Arrival {
        /** An exchange has ended. */
        record Ended(Assignment assignment, TargetReply reply) implements Arrival {}

        /** The first exchange counts as late. */
        record Late() implements Arrival {}
    }

    /** The exchanges of one call. */
    private record Running(
            Dispatcher dispatcher,
            CallRequest request,
            List<Exchange> exchanges,
            Set<String> targets,
            BlockingQueue<Arrival> arrivals) {}

    HedgedExchange(TargetClient targets, CallEvents events, Timer timer, Finisher finisher) {
        this.targets = targets;
        this.events = events;
        this.timer = timer;
        this.finisher = finisher;
    }

    /**
     * Blocks until a good answer is there, or every exchange has ended; a caller that goes away cancels all.
     *
     * @param mostTargets targets that the call may still be sent to
     */
    Attempt run(Dispatcher dispatcher, Assignment first, CallRequest request, SendPlan plan, int mostTargets)
            throws InterruptedException {
        Running running =
                new Running(dispatcher, request, new ArrayList<>(), new HashSet<>(), new LinkedBlockingQueue<>());
        start(running, first);
        if (mostTargets > 1) {
            setAlarm(running, first);
        }
        try {
            return awaitAnswer(running, first, plan.scout());
        } finally {
            running.exchanges().forEach(Exchange::cancel);
        }
    }

    private Attempt awaitAnswer(Running running, Assignment first, LoadProber scout) throws InterruptedException {
        int ended = 0;
        Attempt best = null;
        while (true) {
            switch (running.arrivals().take()) {
                case Arrival.Late ignored -> hedge(running, first, scout);
                case Arrival.Ended arrival -> {
                    ended++;
                    best = better(best, arrival);
                    if (!isGood(best.reply())
                            && ended < running.exchanges().size()
                            && arrival.reply() instanceof TargetReply.NotSent) {
                        // The hedge reached no target, and the first exchange is as late as before.
                        hedge(running, first, scout);
                    }
                    if (isGood(best.reply()) || ended == running.exchanges().size()) {
                        return new Attempt(best.assignment(), best.reply(), ImmutableSet.copyOf(running.targets()));
                    }
                }
            }
        }
    }

    /** A target's answer, also a failed one, says more than a lost exchange; a later reply more than an earlier one. */
    private static Attempt better(@Nullable Attempt best, Arrival.Ended arrival) {
        Attempt next = new Attempt(arrival.assignment(), arrival.reply(), ImmutableSet.of());
        boolean keep = best != null && ran(best.reply()) && !isGood(next.reply());
        return keep ? best : next;
    }

    private static boolean ran(TargetReply reply) {
        return reply instanceof TargetReply.Answered answered && !answered.notRun();
    }

    private static boolean isGood(TargetReply reply) {
        return reply instanceof TargetReply.Answered answered
                && !answered.notRun()
                && !answered.answer().isServerError();
    }

    private void start(Running running, Assignment assignment) {
        events.sent(assignment);
        Exchange exchange = targets.send(assignment.target(), running.request());
        running.exchanges().add(exchange);
        running.targets().add(assignment.target().id());
        exchange.reply().thenAccept(reply -> {
            events.replied(assignment, reply);
            finisher.finish(running.dispatcher(), assignment, running.request(), reply);
            running.arrivals().add(new Arrival.Ended(assignment, reply));
        });
    }

    private void setAlarm(Running running, Assignment first) {
        if (!first.call().request().idempotent()) {
            return;
        }
        long delayNanos = running.dispatcher().hedgeDelayNanos(first.call().request());
        if (delayNanos > 0) {
            timer.schedule(delayNanos, () -> running.arrivals().add(new Arrival.Late()));
        }
    }

    private void hedge(Running running, Assignment first, LoadProber scout) throws InterruptedException {
        Set<String> tried = Set.copyOf(running.targets());
        scout.measure(running.dispatcher(), first.call(), tried);
        Optional<Assignment> second = running.dispatcher().hedge(first, tried);
        if (second.isEmpty()) {
            return;
        }
        events.hedged(running.request().service());
        start(running, second.get());
    }
}
