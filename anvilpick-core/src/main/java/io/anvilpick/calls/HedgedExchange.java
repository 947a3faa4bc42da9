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
 * Sends a call to its assigned target and hedges it if it is idempotent and late. Thread safe.
 *
 * <p>The first complete answer without a server error is used, and the remaining exchanges are cancelled.
 */
final class HedgedExchange {
    private static final int NOT_RUN = 0;
    private static final int MAY_HAVE_RUN = 1;
    private static final int SERVER_ERROR = 2;
    private static final int GOOD_ANSWER = 3;

    private final TargetClient targets;
    private final CallEvents events;
    private final Timer timer;
    private final CompletionListener completionListener;

    /** A listener that is called once for each assignment, when it has ended. */
    interface CompletionListener {
        void onCompletion(Dispatcher dispatcher, Assignment assignment, CallRequest request, TargetReply reply);
    }

    /** A signal to the thread that waits for the outcome of a call. */
    private sealed interface Signal {
        /** Signals that an exchange has ended. */
        record Ended(Assignment assignment, TargetReply reply) implements Signal {}

        /** Signals that the hedge delay has passed. */
        record Late() implements Signal {}
    }

    /** The exchanges of one call and their signals. */
    private record Running(
            Dispatcher dispatcher,
            CallRequest request,
            List<Exchange> exchanges,
            Set<String> targets,
            Set<String> reached,
            BlockingQueue<Signal> signals) {}

    HedgedExchange(TargetClient targets, CallEvents events, Timer timer, CompletionListener completionListener) {
        this.targets = targets;
        this.events = events;
        this.timer = timer;
        this.completionListener = completionListener;
    }

    /**
     * Blocks until an answer without a server error has arrived or every exchange has ended. An interrupt cancels all
     * exchanges.
     *
     * @param maxTargets maximum number of targets that may still run the call; it is not hedged if this is one
     */
    Attempt run(Dispatcher dispatcher, Assignment first, CallRequest request, SendPlan plan, int maxTargets)
            throws InterruptedException {
        Running running = new Running(
                dispatcher, request, new ArrayList<>(), new HashSet<>(), new HashSet<>(), new LinkedBlockingQueue<>());
        start(running, first);
        if (maxTargets > 1) {
            scheduleHedge(running, first);
        }
        try {
            return awaitAnswer(running, first, plan);
        } finally {
            running.exchanges().forEach(Exchange::cancel);
        }
    }

    private Attempt awaitAnswer(Running running, Assignment first, SendPlan plan) throws InterruptedException {
        int ended = 0;
        Signal.Ended best = null;
        while (true) {
            switch (running.signals().take()) {
                case Signal.Late ignored -> hedge(running, first, plan);
                case Signal.Ended signal -> {
                    ended++;
                    if (signal.reply().mayHaveRun()) {
                        running.reached().add(signal.assignment().target().id());
                    }
                    best = preferred(best, signal);
                    if (!isGood(best.reply())
                            && ended < running.exchanges().size()
                            && signal.reply() instanceof TargetReply.NotSent) {
                        // One exchange reached no target while another is still in flight: the call is still late.
                        hedge(running, first, plan);
                    }
                    if (isGood(best.reply()) || ended == running.exchanges().size()) {
                        return new Attempt(
                                best.assignment(),
                                best.reply(),
                                ImmutableSet.copyOf(running.targets()),
                                ImmutableSet.copyOf(running.reached()));
                    }
                }
            }
        }
    }

    /**
     * Returns the reply to keep: an answer without a server error, else any answer of a target that ran the call, else one after
     * which the call may have run. Of equal replies the later one is kept.
     */
    private static Signal.Ended preferred(Signal.@Nullable Ended best, Signal.Ended next) {
        return best == null || rank(next.reply()) >= rank(best.reply()) ? next : best;
    }

    private static int rank(TargetReply reply) {
        if (isGood(reply)) {
            return GOOD_ANSWER;
        }
        if (!reply.mayHaveRun()) {
            return NOT_RUN;
        }
        return reply instanceof TargetReply.Answered ? SERVER_ERROR : MAY_HAVE_RUN;
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
            completionListener.onCompletion(running.dispatcher(), assignment, running.request(), reply);
            running.signals().add(new Signal.Ended(assignment, reply));
        });
    }

    private void scheduleHedge(Running running, Assignment first) {
        if (!first.call().request().idempotent()) {
            return;
        }
        long delayNanos = running.dispatcher().hedgeDelayNanos(first.call());
        if (delayNanos > 0) {
            timer.schedule(delayNanos, () -> running.signals().add(new Signal.Late()));
        }
    }

    private void hedge(Running running, Assignment first, SendPlan plan) throws InterruptedException {
        if (plan.permission().refusal().isPresent()) {
            return;
        }
        Set<String> tried = Set.copyOf(running.targets());
        plan.prober().measure(running.dispatcher(), first.call(), tried);
        if (Thread.interrupted()) {
            throw new InterruptedException("the caller left before the call was hedged");
        }
        Optional<Assignment> second = running.dispatcher().hedge(first, tried);
        if (second.isEmpty()) {
            return;
        }
        events.hedged(running.request().service());
        start(running, second.get());
    }
}
