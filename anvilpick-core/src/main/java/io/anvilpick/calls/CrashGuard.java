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
 * Keeps a request that crashes targets from running over and over. Thread safe.
 *
 * <p>A request that was running when a target crashed may run once more in the whole fleet, under a claim on its
 * fingerprint: a trial. An answer acquits it; another crash blocks it everywhere. A trial that ends in a crash never
 * gives its claim back, so that a daemon that missed the word of the crash cannot start another one.
 */
public final class CrashGuard implements CrashProtection {
    private static final String CLAIM_SERVICE = "crash-trial";
    private static final Duration ASK_AGAIN_AFTER = Duration.ofMillis(20);
    private static final int SHARDS = 16;

    private final CrashHistory ledger;
    private final Claimer claimer;
    private final TargetClient targets;
    private final Consumer<PeerRequest> broadcast;
    private final TimeSource time;
    private final Shards<Map<String, ClaimTicket>> trials = Shards.create(SHARDS, HashMap::new);

    /** Creates a guard that tells other daemons through {@code broadcast}. */
    public CrashGuard(
            CrashHistory ledger,
            Claimer claimer,
            TargetClient targets,
            Consumer<PeerRequest> broadcast,
            TimeSource time) {
        this.ledger = ledger;
        this.claimer = claimer;
        this.targets = targets;
        this.broadcast = broadcast;
        this.time = time;
    }

    /** Blocks while another daemon tries the request; one that gets no trial before its deadline is blocked too. */
    @Override
    public void awaitPermission(CallRequest request) throws CallException, InterruptedException {
        if (ledger.isEmpty()) {
            return;
        }
        String fingerprint = request.fingerprint();
        while (true) {
            CrashStatus verdict = ledger.statusOf(fingerprint);
            if (verdict == CrashStatus.CLEAR) {
                return;
            }
            if (verdict == CrashStatus.BLOCKED || request.deadline().hasPassed(time)) {
                throw new CallException(
                        ErrorKind.CRASHING_REQUEST, "this request was running when targets crashed; it is not run");
            }
            if (startTrial(fingerprint, request)) {
                return;
            }
            Thread.sleep(ASK_AGAIN_AFTER);
        }
    }

    /** Notes that {@code request} got an answer. */
    public void onAnswered(CallRequest request) {
        if (ledger.isEmpty()) {
            return;
        }
        String fingerprint = request.fingerprint();
        if (ledger.clear(fingerprint)) {
            broadcast.accept(new CrashClearedRequest(fingerprint));
        }
        endTrial(fingerprint).ifPresent(claimer::release);
    }

    /** Notes that {@code request} ended with neither a crash nor an answer, so that another trial may follow. */
    public void onInconclusive(CallRequest request) {
        if (ledger.isEmpty()) {
            return;
        }
        endTrial(request.fingerprint()).ifPresent(claimer::release);
    }

    @Override
    public CompletableFuture<Void> onConnectionLost(TargetConfig target, CallRequest request) {
        CrashReport report = new CrashReport(request.fingerprint(), target.address(), time.epochMillis());
        return targets.isListening(target).thenAccept(listening -> {
            if (!listening && ledger.add(report)) {
                broadcast.accept(new CrashReportRequest(report));
            }
        });
    }

    /** Takes in another daemon's word of a crash. */
    public void onCrashReport(CrashReport report) {
        ledger.add(report);
    }

    /** Takes in another daemon's word that a request has been answered. */
    public void onRequestCleared(String fingerprint) {
        ledger.clear(fingerprint);
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
