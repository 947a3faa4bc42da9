package io.anvilpick.entry;

import io.anvilpick.calls.CallRequest;
import io.anvilpick.calls.CrashProtection;
import io.anvilpick.calls.TargetClient;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.crashes.CrashHistory;
import io.anvilpick.crashes.CrashReport;
import io.anvilpick.crashes.CrashStatus;
import io.anvilpick.error.CallException;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.time.TimeSource;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.jboss.logging.Logger;

/**
 * Blocks requests that repeatedly crashed targets, by the crash reports of all daemons. Thread safe.
 *
 * <p>A request with a single report runs without restriction. Reports end only by expiring, as answers do not clear them.
 */
public final class EntryCrashGuard implements CrashProtection {
    private static final Logger LOG = Logger.getLogger(EntryCrashGuard.class);

    private final CrashHistory history;
    private final TargetClient targets;
    private final Consumer<CrashReport> broadcast;
    private final TimeSource time;
    private final Predicate<TargetConfig> mayProbe;

    /** Creates a guard that may probe all targets. */
    public EntryCrashGuard(
            CrashHistory history, TargetClient targets, Consumer<CrashReport> broadcast, TimeSource time) {
        this(history, targets, broadcast, time, target -> true);
    }

    /**
     * Creates a guard.
     *
     * @param history the crash reports, including those of other daemons
     * @param targets checks whether a target still listens
     * @param broadcast sends a crash report to the other daemons; must not block
     * @param mayProbe whether a target may be probed; a crash of one that may not is not detected
     */
    public EntryCrashGuard(
            CrashHistory history,
            TargetClient targets,
            Consumer<CrashReport> broadcast,
            TimeSource time,
            Predicate<TargetConfig> mayProbe) {
        this.history = history;
        this.targets = targets;
        this.broadcast = broadcast;
        this.time = time;
        this.mayProbe = mayProbe;
    }

    @Override
    public void awaitPermission(CallRequest request) throws CallException {
        if (!history.isEmpty() && history.statusOf(request.fingerprint()) == CrashStatus.BLOCKED) {
            throw new CallException(
                    ErrorKind.CRASHING_REQUEST, "this request was running when targets crashed; it is not run");
        }
    }

    /** Returns a completed future: a request does not wait for the check whether its target crashed. */
    @Override
    public CompletableFuture<Void> onConnectionLost(TargetConfig target, CallRequest request) {
        if (!mayProbe.test(target)) {
            return CompletableFuture.completedFuture(null);
        }
        CrashReport report = new CrashReport(request.fingerprint(), target.address(), time.epochMillis());
        targets.isListening(target).thenAccept(listening -> {
            if (!listening && history.add(report)) {
                LOG.warnf("event=crash_suspected target=%s path=%s", target.id(), request.path());
                broadcast.accept(report);
            }
        });
        return CompletableFuture.completedFuture(null);
    }
}
