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
import org.jboss.logging.Logger;

/** Blocks requests that crashed targets, by what this daemon and others have seen. Thread safe. */
public final class EntryCrashGuard implements CrashProtection {
    private static final Logger LOG = Logger.getLogger(EntryCrashGuard.class);

    private final CrashHistory ledger;
    private final TargetClient targets;
    private final Consumer<CrashReport> tellOthers;
    private final TimeSource time;

    /**
     * Creates a watch.
     *
     * @param ledger takes the reports of other daemons too
     * @param targets looks whether a target still listens
     * @param tellOthers tells the other daemons of a crash; must not block
     */
    public EntryCrashGuard(
            CrashHistory ledger, TargetClient targets, Consumer<CrashReport> tellOthers, TimeSource time) {
        this.ledger = ledger;
        this.targets = targets;
        this.tellOthers = tellOthers;
        this.time = time;
    }

    @Override
    public void awaitPermission(CallRequest request) throws CallException {
        if (!ledger.isEmpty() && ledger.statusOf(request.fingerprint()) == CrashStatus.BLOCKED) {
            throw new CallException(
                    ErrorKind.CRASHING_REQUEST, "this request was running when targets crashed; it is not run");
        }
    }

    /** The returned future is complete at once: a request need not wait until it is known whether its target crashed. */
    @Override
    public CompletableFuture<Void> onConnectionLost(TargetConfig target, CallRequest request) {
        CrashReport report = new CrashReport(request.fingerprint(), target.address(), time.epochMillis());
        targets.isListening(target).thenAccept(listening -> {
            if (!listening && ledger.add(report)) {
                LOG.warnf("event=crash_suspected target=%s path=%s", target.id(), request.path());
                tellOthers.accept(report);
            }
        });
        return CompletableFuture.completedFuture(null);
    }
}
