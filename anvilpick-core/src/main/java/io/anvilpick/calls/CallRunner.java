package io.anvilpick.calls;

import com.google.common.collect.ImmutableList;
import io.anvilpick.claims.Claim;
import io.anvilpick.claims.ClaimKey;
import io.anvilpick.claims.ClaimState;
import io.anvilpick.claims.KeyAge;
import io.anvilpick.claims.StoredAnswer;
import io.anvilpick.claims.replication.ClaimOutcome;
import io.anvilpick.claims.replication.ClaimTicket;
import io.anvilpick.claims.replication.Claimer;
import io.anvilpick.config.ActiveConfiguration;
import io.anvilpick.config.Configuration;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.dispatch.Call;
import io.anvilpick.error.AnswerTable;
import io.anvilpick.error.CallException;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.error.Outcome;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Runs calls, from the caller's request to the target's answer. Thread safe; each call blocks the calling thread.
 *
 * <p>A call that is not idempotent and carries an idempotency key is sent only after the key has been claimed. When the
 * call ends, its claim is released if the call is known not to have run. Otherwise the claim is settled with the
 * outcome as far as it is known.
 */
public final class CallRunner {
    private static final int MAX_STORED_BYTES = 4_096;
    private static final String UNCLASSIFIED = "unclassified";

    private final ActiveConfiguration activeConfiguration;
    private final DispatcherRegistry dispatchers;
    private final Sender sender;
    private final Claimer claimer;
    private final CrashGuard crashes;
    private final CallEvents events;
    private final TimeSource time;
    private final AtomicLong nextCallId = new AtomicLong();

    /** The dependencies of a runner. */
    public record Parts(
            ActiveConfiguration activeConfiguration,
            DispatcherRegistry dispatchers,
            Sender sender,
            Claimer claimer,
            CrashGuard crashes,
            CallEvents events,
            TimeSource time) {}

    /** Creates a runner. */
    public CallRunner(Parts parts) {
        this.activeConfiguration = parts.activeConfiguration();
        this.dispatchers = parts.dispatchers();
        this.sender = parts.sender();
        this.claimer = parts.claimer();
        this.crashes = parts.crashes();
        this.events = parts.events();
        this.time = parts.time();
    }

    /**
     * Returns the complete answer to {@code request}.
     *
     * @throws CallException if the call fails; its kind states whether the call may have run
     * @throws InterruptedException if the caller disconnected
     */
    public CallAnswer run(CallRequest request) throws CallException, InterruptedException {
        long startNanos = time.nanos();
        String requestName = UNCLASSIFIED;
        try {
            ServiceCall call = classify(request);
            requestName = call.call().request().name();
            CallAnswer answer = runClassified(call);
            events.answered(request.service(), requestName, request.tenant(), time.nanos() - startNanos);
            return answer;
        } catch (CallException e) {
            events.refused(request.service(), requestName, request.tenant(), e.kind());
            throw e;
        }
    }

    /**
     * Sets the time after which the daemon delivers no more answers. Calls that wait for a target and cannot be answered by then
     * are refused, and so are later ones.
     */
    public void stopBy(Deadline end) {
        dispatchers.stopBy(end).forEach(sender::wake);
    }

    private ServiceCall classify(CallRequest request) throws CallException {
        Configuration configuration = activeConfiguration
                .snapshot()
                .orElseThrow(() -> new CallException(
                        ErrorKind.NO_CONFIGURATION, "no configuration is in force on this daemon yet"))
                .configuration();
        ServiceConfig service = configuration
                .service(request.service())
                .orElseThrow(() -> new CallException(
                        ErrorKind.UNKNOWN_SERVICE, "service: '" + request.service() + "' is not in the configuration"));
        RequestConfig requestConfig = service.requestFor(request.method(), request.pathWithoutQuery())
                .orElseThrow(() -> new CallException(
                        ErrorKind.UNKNOWN_REQUEST,
                        "path: no class of requests of " + service.name() + " matches " + request.method() + " "
                                + request.pathWithoutQuery()));
        Deadline deadline =
                request.deadline().earlier(Deadline.after(time, Duration.ofMillis(requestConfig.timeoutMillis())));
        Call call = new Call(nextCallId.getAndIncrement(), request.tenant(), requestConfig, deadline);
        return new ServiceCall(
                request.withDeadline(deadline, request.attempt()),
                service,
                call,
                dispatchers.dispatcherFor(service, configuration));
    }

    private CallAnswer runClassified(ServiceCall call) throws CallException, InterruptedException {
        RequestConfig requestConfig = call.call().request();
        if (requestConfig.idempotent()) {
            return sendGuarded(call);
        }
        Optional<String> key = call.request().idempotencyKey();
        if (key.isPresent()) {
            return runClaimed(call, key.get());
        }
        if (requestConfig.keyRequired()) {
            throw new CallException(
                    ErrorKind.KEY_REQUIRED, "idempotency-key: is missing, and " + requestConfig.name() + " needs one");
        }
        return sendGuarded(call);
    }

    private CallAnswer runClaimed(ServiceCall call, String key) throws CallException, InterruptedException {
        CallRequest request = call.request();
        String fingerprint = request.fingerprint();
        ClaimKey claimKey = new ClaimKey(request.service(), request.tenant(), key);
        ClaimOutcome outcome = claimer.claim(
                new Claimer.ClaimRequest(claimKey, fingerprint, call.service().keyMemoryMillis(), request.deadline()));
        return switch (outcome) {
            case ClaimOutcome.Won won -> sendClaimed(call, won.ticket());
            case ClaimOutcome.Held held -> answerOfEarlierCall(held.holder(), fingerprint);
            case ClaimOutcome.KeyRejected rejected -> throw rejectionOf(rejected.reason());
            case ClaimOutcome.Unavailable ignored ->
                throw new CallException(
                        ErrorKind.CLAIM_UNAVAILABLE, "the idempotency key could not be claimed in time");
        };
    }

    private CallAnswer sendClaimed(ServiceCall call, ClaimTicket ticket) throws CallException, InterruptedException {
        boolean settled = false;
        try {
            CallAnswer answer = sendGuarded(call);
            claimer.settle(ticket, new ClaimState.Done(storedAnswerOf(answer)));
            settled = true;
            return answer;
        } catch (CallException e) {
            if (AnswerTable.answerFor(e.kind()).outcome() == Outcome.NOT_RUN) {
                claimer.release(ticket);
                settled = true;
            }
            throw e;
        } finally {
            if (!settled) {
                claimer.settle(ticket, new ClaimState.OutcomeUnknown());
            }
        }
    }

    private CallAnswer sendGuarded(ServiceCall call) throws CallException, InterruptedException {
        CallRequest request = call.request();
        crashes.awaitPermission(request);
        boolean inconclusive = true;
        try {
            CallAnswer answer = sender.send(call.dispatcher(), call.call(), request);
            crashes.onAnswered(request);
            inconclusive = false;
            return answer;
        } catch (CallException e) {
            inconclusive = e.kind() != ErrorKind.CONNECTION_LOST && e.kind() != ErrorKind.CRASHING_REQUEST;
            throw e;
        } finally {
            if (inconclusive) {
                crashes.onInconclusive(request);
            }
        }
    }

    private static Optional<StoredAnswer> storedAnswerOf(CallAnswer answer) {
        if (answer.body().length > MAX_STORED_BYTES) {
            return Optional.empty();
        }
        return Optional.of(new StoredAnswer(answer.status(), answer.contentType(), answer.body()));
    }

    private static CallAnswer answerOfEarlierCall(Claim holder, String fingerprint) throws CallException {
        if (!holder.fingerprint().equals(fingerprint)) {
            throw new CallException(ErrorKind.KEY_MISMATCH, "idempotency-key: was used before with another request");
        }
        return switch (holder.state()) {
            case ClaimState.Running ignored ->
                throw new CallException(
                        ErrorKind.KEY_IN_PROGRESS, "idempotency-key: the first call with it is still running");
            case ClaimState.OutcomeUnknown ignored -> throw outcomeUnknown();
            case ClaimState.Done done -> replayed(done.answer().orElseThrow(CallRunner::outcomeUnknown));
        };
    }

    private static CallException outcomeUnknown() {
        return new CallException(
                ErrorKind.KEY_OUTCOME_UNKNOWN, "idempotency-key: the first call may have run; its answer is not kept");
    }

    private static CallAnswer replayed(StoredAnswer stored) {
        ImmutableList<Header> headers = stored.contentType().isEmpty()
                ? ImmutableList.of()
                : ImmutableList.of(new Header("content-type", stored.contentType()));
        return new CallAnswer(stored.status(), headers, stored.body(), true);
    }

    private static CallException rejectionOf(KeyAge.Rejection reason) {
        return switch (reason) {
            case EXPIRED ->
                new CallException(
                        ErrorKind.KEY_EXPIRED, "idempotency-key: is older than the time for which keys are remembered");
            case CLAIMS_LOST ->
                new CallException(
                        ErrorKind.KEY_OUTCOME_UNKNOWN,
                        "idempotency-key: may have been used before claims were lost; keys made since then are served");
        };
    }
}
