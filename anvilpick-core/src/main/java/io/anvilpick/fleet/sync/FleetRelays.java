package io.anvilpick.fleet.sync;

import static java.util.Comparator.comparing;

import com.google.common.collect.ImmutableList;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetView;
import io.anvilpick.fleet.RelayedUpdate;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerTransport;
import io.anvilpick.messages.StoreUpdateRequest;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * Asks other daemons for what they have read of the store. Thread safe.
 *
 * <p>In each zone the daemon with the first name follows the store, the others follow that one: so the calls to the store grow
 * with the zones and not with the daemons.
 */
public final class FleetRelays {
    private static final Logger LOG = Logger.getLogger(FleetRelays.class);

    /** Time for an answer of a daemon nearby, after which it is taken for lost. */
    private static final Duration ANSWER_TIME = Duration.ofMillis(350);

    private final PeerTransport peers;
    private final Supplier<FleetView> view;
    private final EntryMember self;
    private final TimeSource time;

    /** Creates relays for the daemon {@code self}. */
    public FleetRelays(PeerTransport peers, Supplier<FleetView> view, EntryMember self, TimeSource time) {
        this.peers = peers;
        this.view = view;
        this.self = self;
        this.time = time;
    }

    /** Returns the daemon through which this one is to follow the store; none if it is to follow the store itself. */
    Optional<EntryMember> ownRelay() {
        Optional<EntryMember> first = view.get().members().stream()
                .filter(member -> member.zone().equals(self.zone()))
                .min(comparing(EntryMember::name));
        return first.filter(member -> member.name().compareTo(self.name()) < 0);
    }

    /** Returns the other daemons, those of the own zone first. */
    ImmutableList<EntryMember> others() {
        return view.get().members().stream()
                .filter(member -> !member.name().equals(self.name()))
                .sorted(comparing((EntryMember member) -> !member.zone().equals(self.zone()))
                        .thenComparing(EntryMember::name))
                .collect(ImmutableList.toImmutableList());
    }

    /** Asks a daemon for what has changed since {@code revision}; blocks. None if it cannot tell. */
    Optional<RelayedUpdate> ask(EntryMember relay, long revision) throws InterruptedException {
        Deadline deadline = Deadline.after(time, ANSWER_TIME);
        try {
            PeerReply reply = peers.send(relay.peerAddress(), new StoreUpdateRequest(revision), deadline)
                    .get();
            return switch (reply) {
                case PeerReply.StoreUpdate followed -> Optional.of(followed.relayed());
                case PeerReply.Rejected rejected -> none(relay, rejected.reason());
                default -> none(relay, "not a reply to this request");
            };
        } catch (ExecutionException e) {
            return none(relay, String.valueOf(e.getCause()));
        }
    }

    private static Optional<RelayedUpdate> none(EntryMember relay, String reason) {
        LOG.debugf("event=relay_no_answer name=%s reason=\"%s\"", relay.name(), reason);
        return Optional.empty();
    }
}
