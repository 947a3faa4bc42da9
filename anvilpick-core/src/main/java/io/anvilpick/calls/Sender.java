package io.anvilpick.calls;

import io.anvilpick.dispatch.Admission;
import io.anvilpick.dispatch.Assignment;
import io.anvilpick.dispatch.Call;
import io.anvilpick.dispatch.CallResult;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.error.CallException;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.time.TimeSource;
import io.anvilpick.time.Timer;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/** Sends calls to targets: waits for a slot, hedges, and sends again where that is safe. Thread safe. */
public final class Sender {
    /** Sends of one call, those counted that never reached a target. */
    private static final int MOST_SENDS = 6;

    private final CrashProtection crashes;
    private final CallEvents events;
    private final AdmissionWaiters waitingRoom;
    private final HedgedExchange hedging;

    /** Creates a sender. */
    public Sender(TargetClient targets, CrashProtection crashes, CallEvents events, TimeSource time, Timer timer) {
        this.crashes = crashes;
        this.events = events;
        this.waitingRoom = new AdmissionWaiters(time);
        this.hedging = new HedgedExchange(targets, events, timer, this::finish);
    }

    /**
     * Returns a target's whole answer, blocking the calling thread.
     *
     * @throws CallException of a kind that tells truly whether the call may have run
     * @throws InterruptedException if the caller went away
     */
    public CallAnswer send(Dispatcher dispatcher, Call call, CallRequest request)
            throws CallException, InterruptedException {
        return send(dispatcher, call, request, SendPlan.standard());
    }

    /**
     * Returns a target's whole answer within {@code plan}, blocking the calling thread.
     *
     * @throws CallException of a kind that tells truly whether the call may have run
     * @throws InterruptedException if the caller went away
     */
    public CallAnswer send(Dispatcher dispatcher, Call call, CallRequest request, SendPlan plan)
            throws CallException, InterruptedException {
        CompletableFuture<Admission> wake = waitingRoom.enter(call);
        try {
            return sendWaiting(dispatcher, call, request, plan, wake);
        } finally {
            waitingRoom.leave(call);
        }
    }

    private CallAnswer sendWaiting(
            Dispatcher dispatcher, Call call, CallRequest request, SendPlan plan, CompletableFuture<Admission> wake)
            throws CallException, InterruptedException {
        Set<String> reached = new HashSet<>();
        Set<String> failed = new HashSet<>();
        plan.scout().measure(dispatcher, call, failed);
        Admission admission = dispatcher.submit(call);
        Ending ending = new Ending.Failed(new CallException(ErrorKind.NO_TARGET, "no target could be reached"));
        for (int attempt = 0; attempt < MOST_SENDS; attempt++) {
            Optional<Assignment> assignment =
                    assigned(dispatcher, call, admission, wake, plan.scout(), ending, attempt);
            if (assignment.isEmpty()) {
                return ending.answerOrThrow();
            }
            CallRequest sent = request.withDeadline(call.deadline(), request.attempt() + attempt);
            Attempt outcome =
                    hedging.run(dispatcher, assignment.get(), sent, plan, plan.mostTargets() - reached.size());
            boolean arrived = !(outcome.reply() instanceof TargetReply.NotSent);
            ending = endingOf(outcome, call);
            failed.addAll(outcome.targets());
            if (mayHaveRun(outcome.reply())) {
                reached.addAll(outcome.targets());
            }
            if (reached.size() >= plan.mostTargets() || !mayTryAgain(outcome.reply(), call, request, plan)) {
                return ending.answerOrThrow();
            }
            checkCrash(outcome, request);
            events.retried(request.service());
            plan.scout().measure(dispatcher, call, failed);
            wake = waitingRoom.enter(call);
            admission = arrived ? dispatcher.retry(call, failed) : dispatcher.resubmit(call, failed);
        }
        return ending.answerOrThrow();
    }

    private static boolean mayHaveRun(TargetReply reply) {
        boolean rejected = reply instanceof TargetReply.Answered answered && answered.notRun();
        return !rejected && !(reply instanceof TargetReply.NotSent);
    }

    /** How a call ends unless it is sent again. */
    private sealed interface Ending {
        /** With a target's answer. */
        record Answered(CallAnswer answer) implements Ending {}

        /** With a failure. */
        record Failed(CallException failure) implements Ending {}

        default CallAnswer answerOrThrow() throws CallException {
            return switch (this) {
                case Answered answered -> answered.answer();
                case Failed failed -> throw failed.failure();
            };
        }
    }

    private static Ending endingOf(Attempt outcome, Call call) {
        if (outcome.reply() instanceof TargetReply.Answered answered && !answered.notRun()) {
            return new Ending.Answered(answered.answer());
        }
        return new Ending.Failed(failureOf(outcome, call));
    }

    /** Returns where the call goes; empty if it is to end as its last attempt did. */
    private Optional<Assignment> assigned(
            Dispatcher dispatcher,
            Call call,
            Admission admission,
            CompletableFuture<Admission> wake,
            LoadProber scout,
            Ending ending,
            int attempt)
            throws CallException, InterruptedException {
        Admission decided =
                admission instanceof Admission.Waiting ? waitingRoom.await(call, wake, dispatcher, scout) : admission;
        return switch (decided) {
            case Admission.Assigned assigned -> Optional.of(assigned.assignment());
            case Admission.Refused refused -> {
                if (attempt > 0) {
                    yield Optional.empty();
                }
                throw new CallException(refused.kind(), "the call was not sent: " + refused.kind());
            }
            case Admission.Waiting ignored -> throw new IllegalStateException("a call waits without end");
        };
    }

    /** Only what certainly did not run, or is idempotent, is sent again; and only by the first layer that could. */
    private static boolean mayTryAgain(TargetReply reply, Call call, CallRequest request, SendPlan plan) {
        return switch (reply) {
            case TargetReply.NotSent ignored -> true;
            case TargetReply.Answered answered ->
                answered.notRun() ? request.attempt() == 0 : mayRepeatFailed(answered, call, plan);
            case TargetReply.Lost ignored -> call.request().idempotent() && request.attempt() == 0;
            case TargetReply.Cut ignored -> call.request().idempotent() && request.attempt() == 0;
            case TargetReply.TimedOut ignored -> false;
            case TargetReply.Cancelled ignored -> false;
        };
    }

    private static boolean mayRepeatFailed(TargetReply.Answered answered, Call call, SendPlan plan) {
        return plan.repeatFailedAnswers()
                && call.request().idempotent()
                && answered.answer().isServerError();
    }

    private static CallException failureOf(Attempt outcome, Call call) {
        String target = outcome.assignment().target().id();
        return switch (outcome.reply()) {
            case TargetReply.NotSent notSent ->
                new CallException(ErrorKind.NO_TARGET, "no connection to target " + target + ": " + notSent.reason());
            case TargetReply.Answered ignored ->
                new CallException(ErrorKind.TARGET_REFUSED, "target " + target + " did not run the call");
            case TargetReply.Lost lost ->
                new CallException(
                        ErrorKind.CONNECTION_LOST, "connection to target " + target + " lost: " + lost.reason());
            case TargetReply.Cut cut ->
                new CallException(ErrorKind.ANSWER_CUT, "answer of target " + target + " cut: " + cut.reason());
            case TargetReply.TimedOut ignored ->
                new CallException(
                        ErrorKind.DEADLINE_AFTER_SEND,
                        "no answer of class " + call.request().name() + " in time");
            case TargetReply.Cancelled ignored ->
                new CallException(ErrorKind.CONNECTION_LOST, "the call was cancelled");
        };
    }

    /** A call whose target crashed must pass the crash guard before it is sent again. */
    private void checkCrash(Attempt outcome, CallRequest request) throws CallException, InterruptedException {
        if (!(outcome.reply() instanceof TargetReply.Lost)) {
            return;
        }
        try {
            crashes.onConnectionLost(outcome.assignment().target(), request).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a target could not be looked at", e);
        }
        crashes.awaitPermission(request);
    }

    private void finish(Dispatcher dispatcher, Assignment assignment, CallRequest request, TargetReply reply) {
        waitingRoom.wake(dispatcher.finish(assignment, resultOf(reply)));
        if (reply instanceof TargetReply.Lost) {
            crashes.onConnectionLost(assignment.target(), request);
        }
    }

    private static CallResult resultOf(TargetReply reply) {
        return switch (reply) {
            case TargetReply.Answered answered ->
                answered.notRun()
                        ? new CallResult.Shed(answered.leaving())
                        : new CallResult.Answered(
                                answered.load(), answered.answer().isServerError(), answered.leaving());
            case TargetReply.NotSent ignored -> new CallResult.ConnectFailed();
            case TargetReply.Lost ignored -> new CallResult.Lost();
            case TargetReply.Cut ignored -> new CallResult.Lost();
            case TargetReply.TimedOut ignored -> new CallResult.TimedOut();
            case TargetReply.Cancelled ignored -> new CallResult.Cancelled();
        };
    }
}
