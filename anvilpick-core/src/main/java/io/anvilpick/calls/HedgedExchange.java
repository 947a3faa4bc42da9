package io.anvilpick.calls;

import io.anvilpick.routing.Assignment;
import io.anvilpick.routing.Dispatcher;
import io.anvilpick.time.Alarm;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * Sends an assignment, and for an idempotent call that is late a second one; the first whole answer counts and the other
 * exchange is cancelled. Thread safe.
 */
final class HedgedExchange {
    private final TargetClient targets;
    private final CallEvents events;
    private final Alarm alarm;
    private final Finisher finisher;

    /** Is told once how each assignment ended. */
    interface Finisher {
        void finish(Dispatcher dispatcher, Assignment assignment, CallRequest request, TargetReply reply);
    }

    /** What the thread of a call waits for. */
    private sealed interface Arrival {
        /** An exchange has ended. */
        record Ended(Attempt attempt) implements Arrival {}

        /** The first exchange counts as late. */
        record Late() implements Arrival {}
    }

    /** The exchanges of one call. */
    private record Running(
            Dispatcher dispatcher, CallRequest request, List<Exchange> exchanges, BlockingQueue<Arrival> arrivals) {}

    HedgedExchange(TargetClient targets, CallEvents events, Alarm alarm, Finisher finisher) {
        this.targets = targets;
        this.events = events;
        this.alarm = alarm;
        this.finisher = finisher;
    }

    /** Blocks until an answer is there, or every exchange has failed; a caller that goes away cancels all. */
    Attempt run(Dispatcher dispatcher, Assignment first, CallRequest request) throws InterruptedException {
        Running running = new Running(dispatcher, request, new ArrayList<>(), new LinkedBlockingQueue<>());
        start(running, first);
        setAlarm(running, first);
        try {
            return awaitAnswer(running, first);
        } finally {
            running.exchanges().forEach(Exchange::cancel);
        }
    }

    private Attempt awaitAnswer(Running running, Assignment first) throws InterruptedException {
        int ended = 0;
        while (true) {
            switch (running.arrivals().take()) {
                case Arrival.Late ignored -> hedge(running, first);
                case Arrival.Ended arrival -> {
                    ended++;
                    boolean answered = arrival.attempt().reply() instanceof TargetReply.Answered;
                    if (answered || ended == running.exchanges().size()) {
                        return arrival.attempt();
                    }
                }
            }
        }
    }

    private void start(Running running, Assignment assignment) {
        Exchange exchange = targets.send(assignment.target(), running.request());
        running.exchanges().add(exchange);
        exchange.reply().thenAccept(reply -> {
            finisher.finish(running.dispatcher(), assignment, running.request(), reply);
            running.arrivals().add(new Arrival.Ended(new Attempt(assignment, reply)));
        });
    }

    private void setAlarm(Running running, Assignment first) {
        if (!first.call().request().idempotent()) {
            return;
        }
        long delayNanos = running.dispatcher().hedgeDelayNanos(first.call().request());
        if (delayNanos > 0) {
            alarm.after(delayNanos, () -> running.arrivals().add(new Arrival.Late()));
        }
    }

    private void hedge(Running running, Assignment first) {
        Optional<Assignment> second = running.dispatcher().hedge(first);
        if (second.isEmpty()) {
            return;
        }
        events.hedged(running.request().service());
        start(running, second.get());
    }
}
