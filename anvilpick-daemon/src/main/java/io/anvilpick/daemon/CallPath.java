package io.anvilpick.daemon;

import com.linecorp.armeria.client.ClientFactory;
import io.anvilpick.calls.CallRunner;
import io.anvilpick.calls.CrashGuard;
import io.anvilpick.calls.Sender;
import io.anvilpick.claims.replication.Claimer;
import io.anvilpick.claims.replication.ReplicaClient;
import io.anvilpick.crashes.CrashHistory;
import io.anvilpick.daemon.control.DaemonState;
import io.anvilpick.daemon.frontend.HttpFront;
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

/** The way of a call through a daemon, from the server towards callers to the client towards targets. Thread safe. */
final class CallPath {
    private static final long MOST_BODY_BYTES = 8L * 1024 * 1024;

    private final CrashGuard crashes;
    private final HttpFront front;

    /** Threads, connections, and sources of time and randomness that everything in a daemon shares. */
    record Machinery(
            ClientFactory clients, ExecutorService threads, Timer alarms, TimeSource time, SecureRandom random) {
        Dispatcher newDispatcher(TargetPolicy policy) {
            return Dispatcher.builder()
                    .time(time)
                    .random(new SplittableRandom(random.nextLong()))
                    .policy(policy)
                    .build();
        }

        void setAlarm(long nanos, Runnable action) {
            alarms.newTimeout(timeout -> action.run(), nanos, TimeUnit.NANOSECONDS);
        }
    }

    /**
     * What a path works with.
     *
     * @param address where callers connect
     * @param mostHeldBytes bytes of bodies held at a time beyond which new calls are refused
     * @param tellPeers tells every daemon of the region
     * @param status the daemon's word of itself
     */
    record Parts(
            InetSocketAddress address,
            long mostHeldBytes,
            Machinery machinery,
            DaemonState state,
            CallMetrics metrics,
            ReplicaClient replicas,
            Consumer<PeerRequest> tellPeers,
            Supplier<StatusPage> status) {}

    /** Creates a path that takes no callers yet. */
    CallPath(Parts parts) {
        Machinery machinery = parts.machinery();
        DaemonState state = parts.state();
        TimeSource time = machinery.time();
        Claimer claimer = new Claimer(state.claimMap(), parts.replicas(), time, machinery.random());
        HttpTargetClient targets =
                new HttpTargetClient(machinery.clients(), MOST_BODY_BYTES, time, machinery.threads());
        this.crashes = new CrashGuard(new CrashHistory(time), claimer, targets, parts.tellPeers(), time);
        Sender sender = new Sender(targets, crashes, parts.metrics(), time, machinery::setAlarm);
        CallRunner runner = new CallRunner(new CallRunner.Parts(
                state.activeConfiguration(), state.dispatchers(), sender, claimer, crashes, parts.metrics(), time));
        this.front = new HttpFront(new HttpFront.Parts(
                parts.address(),
                MOST_BODY_BYTES,
                parts.mostHeldBytes(),
                runner,
                state.activeConfiguration(),
                new AddressSelector(state.members(), machinery.random()),
                machinery.threads(),
                time,
                parts.status(),
                parts.metrics()::scrape));
    }

    /** Returns what watches for requests that crash targets. */
    CrashGuard crashes() {
        return crashes;
    }

    /** Returns the server towards callers. */
    HttpFront front() {
        return front;
    }
}
