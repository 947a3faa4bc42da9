package io.anvilpick.calls;

import io.anvilpick.dispatch.Admission;
import io.anvilpick.dispatch.Assignment;
import io.anvilpick.dispatch.Call;
import io.anvilpick.dispatch.CallResult;
import io.anvilpick.dispatch.DispatchResult;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.error.CallException;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.time.TimeSource;
import io.anvilpick.time.Timer;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/** Sends calls to targets: waits for a slot, hedges, and retries where that is safe. Thread safe. */
public final class Sender {
    /** Maximum number of attempts at one call, each with its hedges, including those that did not reach a target. */
    private static final int MAX_SENDS = 6;

    private final CrashProtection crashes;
    private final CallEvents events;
    private final AdmissionWaiters waiters;
    private final HedgedExchange hedging;

    /** Creates a sender. */
    public Sender(TargetClient targets, CrashProtection crashes, CallEvents events, TimeSource time, Timer timer) {
        this.crashes = crashes;
        this.events = events;
        this.waiters = new AdmissionWaiters(time);
        this.hedging = new HedgedExchange(targets, events, timer, this::finish);
    }

    /**
     * Sends {@code request} according to the default plan and returns the complete answer. Blocks the calling thread.
     *
     * @throws CallException if the call fails; its kind states whether the call may have run
     * @throws InterruptedException if the caller disconnected
     */
    public CallAnswer send(Dispatcher dispatcher, Call call, CallRequest request)
            throws CallException, InterruptedException {
        return send(dispatcher, call, request, SendPlan.defaultPlan());
    }

    /**
     * Sends {@code request} according to {@code plan} and returns the complete answer. Blocks the calling thread.
     *
     * @throws CallException if the call fails; its kind states whether the call may have run
     * @throws InterruptedException if the caller disconnected
     */
    public CallAnswer send(Dispatcher dispatcher, Call call, CallRequest request, SendPlan plan)
            throws CallException, InterruptedException {
        CompletableFuture<Admission> wake = waiters.register(call);
        try {
            return sendWaiting(dispatcher, call, request, plan, wake);
        } finally {
            waiters.unregister(call);
        }
    }

    /** Wakes the waiting calls that {@code dispatch} assigns or refuses. */
    public void wake(DispatchResult dispatch) {
        waiters.wake(dispatch);
    }

    private CallAnswer sendWaiting(
            Dispatcher dispatcher, Call call, CallRequest request, SendPlan plan, CompletableFuture<Admission> wake)
            throws CallException, InterruptedException {
        Set<String> reached = new HashSet<>();
        Set<String> failed = new HashSet<>();
        plan.prober().measure(dispatcher, call, failed);
        Admission admission = dispatcher.submit(call);
        Ending ending = new Ending.Failed(new CallException(ErrorKind.NO_TARGET, "no target could be reached"));
        for (int attempt = 0; attempt < MAX_SENDS; attempt++) {
            Optional<Assignment> assignment =
                    awaitAssignment(dispatcher, call, admission, wake, plan.prober(), ending, attempt);
            if (assignment.isEmpty()) {
                return ending.answerOrThrow();
            }
            if (Thread.interrupted()) {
                waiters.wake(dispatcher.finish(assignment.get(), new CallResult.Cancelled()));
                throw new InterruptedException("the caller left before the call was sent");
            }
            Optional<ErrorKind> forbidden = plan.permission().refusal();
            if (forbidden.isPresent()) {
                waiters.wake(dispatcher.finish(assignment.get(), new CallResult.Cancelled()));
                if (attempt > 0) {
                    return ending.answerOrThrow();
                }
                throw new CallException(forbidden.get(), "the call was not sent: " + forbidden.get());
            }
            CallRequest sent = request.withDeadline(call.deadline(), request.attempt() + attempt);
            Attempt outcome = hedging.run(dispatcher, assignment.get(), sent, plan, plan.maxTargets() - reached.size());
            boolean arrived = !(outcome.reply() instanceof TargetReply.NotSent);
            ending = endingOf(outcome, call);
            failed.addAll(outcome.targets());
            reached.addAll(outcome.reached());
            if (reached.size() >= plan.maxTargets() || !mayRetry(outcome.reply(), call, request, plan)) {
                return ending.answerOrThrow();
            }
            checkCrash(outcome, request);
            events.retried(request.service());
            plan.prober().measure(dispatcher, call, failed);
            wake = waiters.register(call);
            admission = arrived ? dispatcher.retry(call, failed) : dispatcher.resubmit(call, failed);
        }
        return ending.answerOrThrow();
    }

    /** The result of a call unless it is sent again. */
    private sealed interface Ending {
        /** The call ends with an answer of a target. */
        record Answered(CallAnswer answer) implements Ending {}

        /** The call ends with a failure. */
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

    /**
     * Returns the next assignment of the call, or empty if the call is to end with the result of its last attempt.
     *
     * @throws CallException if the first attempt of the call is refused
     */
    private Optional<Assignment> awaitAssignment(
            Dispatcher dispatcher,
            Call call,
            Admission admission,
            CompletableFuture<Admission> wake,
            LoadProber prober,
            Ending ending,
            int attempt)
            throws CallException, InterruptedException {
        Admission decided =
                admission instanceof Admission.Waiting ? waiters.await(call, wake, dispatcher, prober) : admission;
        return switch (decided) {
            case Admission.Assigned assigned -> Optional.of(assigned.assignment());
            case Admission.Refused refused -> {
                if (attempt > 0) {
                    yield Optional.empty();
                }
                throw new CallException(
                        refused.kind(),
                        "the call was not sent: " + reasonOf(refused.kind()),
                        retryAfter(dispatcher, call, refused));
            }
            case Admission.Waiting ignored ->
                throw new IllegalStateException("a waiting call returned without a decision");
        };
    }

    private static String reasonOf(ErrorKind kind) {
        return kind == ErrorKind.ZONES_EVACUATED
                ? "all zones with targets of the service are evacuated"
                : kind.toString();
    }

    /** Returns when a refused caller should return; empty if the usual time applies. */
    private static Optional<Duration> retryAfter(Dispatcher dispatcher, Call call, Admission.Refused refused) {
        if (refused.retryAfter().isPresent()) {
            return refused.retryAfter();
        }
        return switch (refused.kind()) {
            case OVERLOADED, DEADLINE_BEFORE_SEND -> dispatcher.retryAfter(call);
            default -> Optional.empty();
        };
    }

    /**
     * Returns whether the call may be sent again after {@code reply}. Only calls that did not run or that are
     * idempotent are sent again. After a rejection, a lost connection or a cut answer, a call is sent again only if no
     * layer in front of this one has sent it before.
     */
    private static boolean mayRetry(TargetReply reply, Call call, CallRequest request, SendPlan plan) {
        return switch (reply) {
            case TargetReply.NotSent ignored -> true;
            case TargetReply.Expired ignored -> false;
            case TargetReply.Answered answered ->
                answered.notRun() ? request.attempt() == 0 : mayRetryServerError(answered, call, plan);
            case TargetReply.Lost ignored -> call.request().idempotent() && request.attempt() == 0;
            case TargetReply.Cut ignored -> call.request().idempotent() && request.attempt() == 0;
            case TargetReply.TimedOut ignored -> false;
            case TargetReply.Cancelled ignored -> false;
        };
    }

    private static boolean mayRetryServerError(TargetReply.Answered answered, Call call, SendPlan plan) {
        return plan.retryServerErrors()
                && call.request().idempotent()
                && answered.answer().isServerError();
    }

    private static CallException failureOf(Attempt outcome, Call call) {
        String target = outcome.assignment().target().id();
        return switch (outcome.reply()) {
            case TargetReply.NotSent notSent ->
                new CallException(ErrorKind.NO_TARGET, "no connection to target " + target + ": " + notSent.reason());
            case TargetReply.Expired ignored ->
                new CallException(ErrorKind.DEADLINE_BEFORE_SEND, "the deadline passed before the call was sent");
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

    /** Applies the crash protection to a call whose connection was lost, before the call is sent again. */
    private void checkCrash(Attempt outcome, CallRequest request) throws CallException, InterruptedException {
        if (!(outcome.reply() instanceof TargetReply.Lost)) {
            return;
        }
        try {
            crashes.onConnectionLost(outcome.assignment().target(), request).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("the check for a crashed target failed", e);
        }
        crashes.awaitPermission(request);
    }

    private void finish(Dispatcher dispatcher, Assignment assignment, CallRequest request, TargetReply reply) {
        waiters.wake(dispatcher.finish(assignment, resultOf(reply)));
        if (reply instanceof TargetReply.Lost) {
            crashes.onConnectionLost(assignment.target(), request);
        }
    }

    private static CallResult resultOf(TargetReply reply) {
        return switch (reply) {
            case TargetReply.Answered answered ->
                answered.notRun()
                        ? new CallResult.Shed(answered.notice())
                        : new CallResult.Answered(
                                answered.load(), answered.answer().isServerError(), answered.notice());
            case TargetReply.NotSent ignored -> new CallResult.ConnectFailed();
            case TargetReply.Expired ignored -> new CallResult.Expired();
            case TargetReply.Lost ignored -> new CallResult.Lost();
            case TargetReply.Cut ignored -> new CallResult.Lost();
            case TargetReply.TimedOut ignored -> new CallResult.TimedOut();
            case TargetReply.Cancelled ignored -> new CallResult.Cancelled();
        };
    }
}
