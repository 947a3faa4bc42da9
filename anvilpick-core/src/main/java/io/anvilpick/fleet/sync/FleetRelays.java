package io.anvilpick.fleet.sync;

import static java.util.Comparator.comparing;

import com.google.common.collect.ImmutableList;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetView;
import io.anvilpick.fleet.RelayedUpdate;
import io.anvilpick.fleet.StoreRevision;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerTransport;
import io.anvilpick.messages.StoreUpdateRequest;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * Fetches from other daemons what they have read from the store. Thread safe.
 *
 * <p>In each zone, the other daemons follow the store through the one whose name sorts first. That one follows the store directly, or
 * through the daemon whose name sorts first in the region, depending on {@link DirectReaders}. The number of calls to the store
 * therefore does not grow with the number of daemons. Nobody follows a daemon whose name sorts later, so that there are no cycles
 * even if the daemons know different members.
 */
public final class FleetRelays {
    private static final Logger LOG = Logger.getLogger(FleetRelays.class);

    /** Time after which the answer of a daemon counts as lost. It is suited to daemons nearby. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(350);

    private final PeerTransport peers;
    private final Supplier<FleetView> view;
    private final EntryMember self;
    private final TimeSource time;
    private final DirectReaders directReaders;

    /** The daemons that follow the store directly while all relays work. */
    public enum DirectReaders {
        /** One daemon in each zone. */
        ONE_PER_ZONE,
        /** One daemon in each region, which costs fewer calls to the store and one more relay on the way of a change. */
        ONE_PER_REGION
    }

    /** Creates an instance for the daemon {@code self}, where one daemon of each zone follows the store directly. */
    public FleetRelays(PeerTransport peers, Supplier<FleetView> view, EntryMember self, TimeSource time) {
        this(peers, view, self, time, DirectReaders.ONE_PER_ZONE);
    }

    /** Creates an instance for the daemon {@code self}. */
    public FleetRelays(
            PeerTransport peers,
            Supplier<FleetView> view,
            EntryMember self,
            TimeSource time,
            DirectReaders directReaders) {
        this.directReaders = directReaders;
        this.peers = peers;
        this.view = view;
        this.self = self;
        this.time = time;
    }

    /** Returns the daemon through which this one follows the store; empty if it follows the store directly. */
    Optional<EntryMember> assignedRelay() {
        Optional<EntryMember> ofZone = firstBefore(member -> member.zone().equals(self.zone()));
        return switch (directReaders) {
            case ONE_PER_ZONE -> ofZone;
            case ONE_PER_REGION ->
                ofZone.or(() -> firstBefore(member -> member.region().equals(self.region())));
        };
    }

    /** Returns the daemon that sorts first among those that match; empty if it does not sort before this daemon. */
    private Optional<EntryMember> firstBefore(Predicate<EntryMember> matching) {
        return view.get().members().stream()
                .filter(matching)
                .min(comparing(EntryMember::name))
                .filter(member -> member.name().compareTo(self.name()) < 0);
    }

    /** Returns the other daemons, those in this daemon's zone first. */
    ImmutableList<EntryMember> otherDaemons() {
        return view.get().members().stream()
                .filter(member -> !member.name().equals(self.name()))
                .sorted(comparing((EntryMember member) -> !member.zone().equals(self.zone()))
                        .thenComparing(EntryMember::name))
                .collect(ImmutableList.toImmutableList());
    }

    /** Fetches the update after {@code revision} from {@code relay}; empty if it does not return one. Blocks. */
    Optional<RelayedUpdate> fetchUpdate(EntryMember relay, StoreRevision revision) throws InterruptedException {
        Deadline deadline = Deadline.after(time, ANSWER_TIMEOUT);
        try {
            PeerReply reply = peers.send(relay.peerAddress(), new StoreUpdateRequest(revision), deadline)
                    .get();
            return switch (reply) {
                case PeerReply.StoreUpdate update -> Optional.of(update.relayed());
                case PeerReply.Rejected rejected -> noUpdate(relay, rejected.reason());
                default -> noUpdate(relay, "not a reply to this request");
            };
        } catch (ExecutionException e) {
            return noUpdate(relay, String.valueOf(e.getCause()));
        }
    }

    private static Optional<RelayedUpdate> noUpdate(EntryMember relay, String reason) {
        LOG.debugf("event=relay_no_answer name=%s reason=\"%s\"", relay.name(), reason);
        return Optional.empty();
    }
}
