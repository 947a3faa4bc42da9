package io.anvilpick.calls;

import io.anvilpick.claims.ClaimKey;
import io.anvilpick.claims.replication.ClaimOutcome;
import io.anvilpick.claims.replication.ClaimTicket;
import io.anvilpick.claims.replication.Claimer;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.crashes.CrashHistory;
import io.anvilpick.crashes.CrashReport;
import io.anvilpick.crashes.CrashStatus;
import io.anvilpick.error.CallException;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.messages.CrashClearedRequest;
import io.anvilpick.messages.CrashReportRequest;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.shard.Shards;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Blocks requests that repeatedly crash targets. Thread safe.
 *
 * <p>A request that was running when a target crashed becomes a suspect. It may run once more in the whole fleet, as a
 * trial under a claim on its fingerprint. An answer clears the request. Another crash blocks it on all daemons. A trial
 * that ends in a crash never releases its claim: a daemon that missed the crash report could otherwise start another
 * trial.
 */
public final class CrashGuard implements CrashProtection {
    private static final String CLAIM_SERVICE = "crash-trial";
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final int SHARDS = 16;

    private final CrashHistory history;
    private final Claimer claimer;
    private final TargetClient targets;
    private final Consumer<PeerRequest> broadcast;
    private final TimeSource time;
    private final Shards<Map<String, ClaimTicket>> trials = Shards.create(SHARDS, HashMap::new);

    /** Creates a guard that sends crashes and clearances to other daemons through {@code broadcast}. */
    public CrashGuard(
            CrashHistory history,
            Claimer claimer,
            TargetClient targets,
            Consumer<PeerRequest> broadcast,
            TimeSource time) {
        this.history = history;
        this.claimer = claimer;
        this.targets = targets;
        this.broadcast = broadcast;
        this.time = time;
    }

    /** Waits while another call runs the trial. A request that gets no trial before its deadline is rejected. */
    @Override
    public void awaitPermission(CallRequest request) throws CallException, InterruptedException {
        if (history.isEmpty()) {
            return;
        }
        String fingerprint = request.fingerprint();
        while (true) {
            CrashStatus status = history.statusOf(fingerprint);
            if (status == CrashStatus.CLEAR) {
                return;
            }
            if (status == CrashStatus.BLOCKED || request.deadline().hasPassed(time)) {
                throw new CallException(
                        ErrorKind.CRASHING_REQUEST, "this request was running when targets crashed; it is not run");
            }
            if (startTrial(fingerprint, request)) {
                return;
            }
            Thread.sleep(POLL_INTERVAL);
        }
    }

    /** Records that {@code request} was answered. */
    public void onAnswered(CallRequest request) {
        if (history.isEmpty()) {
            return;
        }
        String fingerprint = request.fingerprint();
        if (history.clear(fingerprint)) {
            broadcast.accept(new CrashClearedRequest(fingerprint));
        }
        endTrial(fingerprint).ifPresent(claimer::release);
    }

    /** Records that {@code request} ended with neither a crash nor an answer, which allows another trial. */
    public void onInconclusive(CallRequest request) {
        if (history.isEmpty()) {
            return;
        }
        endTrial(request.fingerprint()).ifPresent(claimer::release);
    }

    @Override
    public CompletableFuture<Void> onConnectionLost(TargetConfig target, CallRequest request) {
        CrashReport report = new CrashReport(request.fingerprint(), target.address(), time.epochMillis());
        return targets.isListening(target).thenAccept(listening -> {
            if (!listening && history.add(report)) {
                broadcast.accept(new CrashReportRequest(report));
            }
        });
    }

    /** Records a crash that another daemon reported. */
    public void onCrashReport(CrashReport report) {
        history.add(report);
    }

    /** Records that another daemon received an answer to a request, which clears it. */
    public void onRequestCleared(String fingerprint) {
        history.clear(fingerprint);
    }

    private boolean startTrial(String fingerprint, CallRequest request) throws InterruptedException {
        ClaimKey key = new ClaimKey(CLAIM_SERVICE, "", fingerprint);
        ClaimOutcome outcome = claimer.claim(
                new Claimer.ClaimRequest(key, fingerprint, CrashReport.RETENTION_MILLIS, request.deadline()));
        if (outcome instanceof ClaimOutcome.Won won) {
            trials.withShardOf(fingerprint, shard -> shard.put(fingerprint, won.ticket()));
            return true;
        }
        return false;
    }

    private Optional<ClaimTicket> endTrial(String fingerprint) {
        return trials.withShardOf(fingerprint, shard -> Optional.ofNullable(shard.remove(fingerprint)));
    }
}
