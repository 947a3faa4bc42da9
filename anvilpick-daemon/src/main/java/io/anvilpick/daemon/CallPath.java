package io.anvilpick.daemon;

import com.linecorp.armeria.client.ClientFactory;
import io.anvilpick.calls.CallRunner;
import io.anvilpick.calls.CrashGuard;
import io.anvilpick.calls.Sender;
import io.anvilpick.claims.replication.Claimer;
import io.anvilpick.claims.replication.ReplicaClient;
import io.anvilpick.crashes.CrashHistory;
import io.anvilpick.daemon.control.DaemonState;
import io.anvilpick.daemon.frontend.HttpFrontend;
import io.anvilpick.daemon.frontend.StatusPage;
import io.anvilpick.daemon.metrics.CallMetrics;
import io.anvilpick.daemon.target.HttpTargetClient;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.dispatch.TargetPolicy;
import io.anvilpick.membership.AddressSelector;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.time.TimeSource;
import io.netty.util.Timer;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The components that process a call, from the HTTP server for callers to the HTTP client for targets. Thread safe. */
final class CallPath {
    private static final long MAX_BODY_BYTES = 8L * 1024 * 1024;

    private final CrashGuard crashGuard;
    private final HttpFrontend frontend;

    /** Threads, connections, and sources of time and randomness that all components of a daemon share. */
    record SharedResources(
            ClientFactory clients, ExecutorService executor, Timer timer, TimeSource time, SecureRandom random) {
        Dispatcher newDispatcher(TargetPolicy policy) {
            return Dispatcher.builder()
                    .time(time)
                    .random(new SplittableRandom(random.nextLong()))
                    .policy(policy)
                    .build();
        }

        void schedule(long nanos, Runnable action) {
            timer.newTimeout(timeout -> action.run(), nanos, TimeUnit.NANOSECONDS);
        }
    }

    /**
     * The collaborators and limits of a call path.
     *
     * @param address address on which the server for callers listens
     * @param maxHeldBytes maximum bytes of bodies held in memory; new calls beyond it are rejected
     * @param broadcast sends a request to every other daemon of the region
     * @param status supplies the content of the status page
     */
    record Parts(
            InetSocketAddress address,
            long maxHeldBytes,
            SharedResources resources,
            DaemonState state,
            CallMetrics metrics,
            ReplicaClient replicas,
            Consumer<PeerRequest> broadcast,
            Supplier<StatusPage> status) {}

    /** Creates a call path whose server does not listen yet. */
    CallPath(Parts parts) {
        SharedResources resources = parts.resources();
        DaemonState state = parts.state();
        TimeSource time = resources.time();
        Claimer claimer = new Claimer(state.claimMap(), parts.replicas(), time, resources.random());
        HttpTargetClient targetClient =
                new HttpTargetClient(resources.clients(), MAX_BODY_BYTES, time, resources.executor());
        this.crashGuard = new CrashGuard(new CrashHistory(time), claimer, targetClient, parts.broadcast(), time);
        Sender sender = new Sender(targetClient, crashGuard, parts.metrics(), time, resources::schedule);
        CallRunner runner = new CallRunner(new CallRunner.Parts(
                state.activeConfiguration(), state.dispatchers(), sender, claimer, crashGuard, parts.metrics(), time));
        this.frontend = new HttpFrontend(new HttpFrontend.Parts(
                parts.address(),
                MAX_BODY_BYTES,
                parts.maxHeldBytes(),
                runner,
                state.activeConfiguration(),
                new AddressSelector(state.members(), resources.random()),
                resources.executor(),
                time,
                parts.status(),
                parts.metrics()::scrape));
    }

    /** Returns the guard that detects requests that crash targets. */
    CrashGuard crashGuard() {
        return crashGuard;
    }

    /** Returns the HTTP server for callers. */
    HttpFrontend frontend() {
        return frontend;
    }
}
