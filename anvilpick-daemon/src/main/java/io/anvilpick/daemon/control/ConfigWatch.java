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
 * Follows the platform, if this daemon is one of the few in its availability zone that do. Each method is used by one
 * thread.
 *
 * <p>A waiting watch counts as a call, so the number of watchers must not grow with the fleet: others hear from peers.
 */
public final class ConfigWatch {
    /** Daemons of each availability zone that follow the platform. */
    public static final int WATCHERS_PER_ZONE = 2;

    private static final Logger LOG = Logger.getLogger(ConfigWatch.class);
    private static final Duration WATCH_FOR = Duration.ofSeconds(20);

    private final DaemonState state;
    private final Platform platform;
    private final ConfigurationStore store;
    private final Gossip gossip;
    private final TimeSource time;
    private long seenRevision;

    /** Creates a watch. */
    public ConfigWatch(DaemonState state, Platform platform, ConfigurationStore store, Gossip gossip, TimeSource time) {
        this.state = state;
        this.platform = platform;
        this.store = store;
        this.gossip = gossip;
        this.time = time;
    }

    /** Returns whether this daemon is one of those that follow the platform. */
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

    /** Waits for a change of the configuration and puts it in force, blocking for a while. */
    public void followConfiguration() throws PlatformException {
        Optional<Entry> entry =
                platform.awaitChange(ConfigurationStore.HEAD_KEY, seenRevision, Deadline.after(time, WATCH_FOR));
        if (entry.isEmpty()) {
            return;
        }
        try {
            Snapshot previous = state.activeConfiguration().snapshot().orElse(null);
            Snapshot next = store.assemble(entry.get(), previous).snapshot();
            seenRevision = entry.get().revision();
            putInForce(next);
        } catch (ConfigurationException e) {
            // A value that cannot be used now may be one whose parts could not be read: it is tried again.
            LOG.warnf("event=configuration_unusable source=platform reason=\"%s\"", e.getMessage());
            throw new PlatformException(PlatformException.Effect.NONE, e.getMessage());
        }
    }

    /** Reads the platform's list of VMs. */
    public void followVms() throws PlatformException {
        ImmutableSet.Builder<String> leaving = ImmutableSet.builder();
        for (Vm vm : platform.vms()) {
            if (vm.state() == VmState.LEAVING) {
                leaving.add(vm.address());
            }
        }
        state.updateLeavingIfNewer(new LeavingList(time.epochMillis(), leaving.build()));
    }

    private void putInForce(Snapshot next) {
        long version = next.head().version();
        if (version == state.activeConfiguration().version()) {
            return;
        }
        Optional<String> refusal = state.activeConfiguration().offer(next);
        if (refusal.isPresent()) {
            LOG.warnf("event=configuration_refused version=%d reason=\"%s\"", version, refusal.get());
            return;
        }
        LOG.infof("event=configuration_in_force version=%d source=platform", version);
        gossip.sendOwnState();
    }
}
