package io.anvilpick.daemon.control;

import com.google.common.collect.ImmutableSet;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.config.ConfigurationStore;
import io.anvilpick.config.Snapshot;
import io.anvilpick.hash.Rendezvous;
import io.anvilpick.membership.LeavingList;
import io.anvilpick.membership.Liveness;
import io.anvilpick.membership.Member;
import io.anvilpick.platform.Entry;
import io.anvilpick.platform.Platform;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.platform.Vm;
import io.anvilpick.platform.VmState;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.jboss.logging.Logger;

/**
 * Reads the configuration and the list of VMs from the platform. {@link ControlLoops} calls the reading methods, each
 * on one thread, while this daemon is one of the watchers of its availability zone.
 *
 * <p>The platform counts a waiting watch as a call, so the number of watchers must not grow with the fleet. The other
 * daemons receive changes from peers.
 */
public final class ConfigWatch {
    /** Number of daemons of each availability zone that watch the platform. */
    public static final int WATCHERS_PER_ZONE = 2;

    private static final Logger LOG = Logger.getLogger(ConfigWatch.class);
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);

    private final DaemonState state;
    private final Platform platform;
    private final ConfigurationStore store;
    private final Gossip gossip;
    private final TimeSource time;
    private long lastRevision;

    /** Creates a watch that reports the version of a new configuration to peers through {@code gossip}. */
    public ConfigWatch(DaemonState state, Platform platform, ConfigurationStore store, Gossip gossip, TimeSource time) {
        this.state = state;
        this.platform = platform;
        this.store = store;
        this.gossip = gossip;
        this.time = time;
    }

    /** Returns whether this daemon is one of the watchers of its availability zone. */
    public boolean isWatcher() {
        Optional<Member> own = state.members().self();
        if (own.isEmpty()) {
            return false;
        }
        Set<String> watchers = Rendezvous.ranked(
                        "watchers",
                        state.members().withLiveness(Set.of(Liveness.LIVE)).stream()
                                .filter(member -> member.zone().equals(own.get().zone()))
                                .toList(),
                        Member::instance)
                .stream()
                .limit(WATCHERS_PER_ZONE)
                .map(Member::instance)
                .collect(ImmutableSet.toImmutableSet());
        return watchers.contains(own.get().instance());
    }

    /** Waits for a change of the configuration and activates it, blocking for up to the watch timeout. */
    public void awaitConfiguration() throws PlatformException {
        Optional<Entry> entry =
                platform.awaitChange(ConfigurationStore.HEAD_KEY, lastRevision, Deadline.after(time, WATCH_TIMEOUT));
        if (entry.isEmpty()) {
            return;
        }
        try {
            Snapshot previous = state.activeConfiguration().snapshot().orElse(null);
            Snapshot next = store.assemble(entry.get(), previous).snapshot();
            lastRevision = entry.get().revision();
            activate(next);
        } catch (ConfigurationException e) {
            // The value may be unusable only because its parts could not be read, so it is tried again.
            LOG.warnf("event=configuration_unusable source=platform reason=\"%s\"", e.getMessage());
            throw new PlatformException(PlatformException.Effect.NONE, e.getMessage());
        }
    }

    /** Reads the platform's list of VMs and updates the list of leaving VMs. */
    public void readVms() throws PlatformException {
        ImmutableSet.Builder<String> leaving = ImmutableSet.builder();
        for (Vm vm : platform.vms()) {
            if (vm.state() == VmState.LEAVING) {
                leaving.add(vm.address());
            }
        }
        state.updateLeavingIfNewer(new LeavingList(time.epochMillis(), leaving.build()));
    }

    private void activate(Snapshot next) {
        long version = next.head().version();
        if (version == state.activeConfiguration().version()) {
            return;
        }
        Optional<String> rejection = state.activeConfiguration().offer(next);
        if (rejection.isPresent()) {
            LOG.warnf("event=configuration_refused version=%d reason=\"%s\"", version, rejection.get());
            return;
        }
        LOG.infof("event=configuration_in_force version=%d source=platform", version);
        gossip.sendOwnState();
    }
}
