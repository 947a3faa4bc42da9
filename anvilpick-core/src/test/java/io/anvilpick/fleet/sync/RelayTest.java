package io.anvilpick.fleet.sync;

import static io.anvilpick.fleet.FleetSamples.member;
import static io.anvilpick.fleet.FleetSamples.target;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetChange;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.FleetUpdate;
import io.anvilpick.fleet.RelayLog;
import io.anvilpick.fleet.StoredItem;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RelayTest {
    private static final EntryMember SELF = member("b", "z");
    private static final EntryMember RELAY = member("a", "z");
    private static final EntryMember FAR = member("far", "y");
    private static final FleetChange SEEN = new FleetChange.TargetRegistered(target("t", "s", false));

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final FakeStore store = new FakeStore();
    private final FakePeers peers = new FakePeers();
    private final FleetState state = new FleetState(time, view -> {});
    private final RelayLog own = new RelayLog(time);
    private final RelayLog relayed = new RelayLog(time);
    private final FleetFollower follower = follower(SELF);

    private FleetFollower follower(EntryMember self) {
        FleetRelays relays = new FleetRelays(peers, state::view, self, time);
        return FleetFollower.of(new FleetFollower.Parts(store, store, state, own, relays, time));
    }

    private void knowMembers(EntryMember... members) {
        for (EntryMember member : members) {
            state.apply(List.of(new FleetChange.MemberRegistered(member)));
        }
    }

    private ImmutableMap<StoredItem, ImmutableList<FleetChange>> item(String key, long revision, FleetChange change) {
        return ImmutableMap.of(store.item(key, revision, change), ImmutableList.of(change));
    }

    private ImmutableMap<StoredItem, ImmutableList<FleetChange>> members() {
        ImmutableMap.Builder<StoredItem, ImmutableList<FleetChange>> members = ImmutableMap.builder();
        for (EntryMember member : List.of(SELF, RELAY, FAR)) {
            members.putAll(item(member.name(), 1, new FleetChange.MemberRegistered(member)));
        }
        return members.buildOrThrow();
    }

    private void relayReads(long revision) {
        relayed.replaceAll(members(), revision, Duration.ZERO);
        peers.logs.put(RELAY.peerAddress(), relayed);
    }

    @Test
    void followsTheStoreThroughTheFirstDaemonOfItsZone() throws Exception {
        knowMembers(SELF, RELAY, FAR);
        relayReads(20);
        follower.step();
        relayed.add(item("t", 21, SEEN), 21, Duration.ZERO);
        follower.step();
        assertEquals(List.of("a:81 -1", "a:81 20"), peers.asked);
        assertEquals(List.of(), store.calls);
        assertEquals(1, state.view().targets().get("s").size());
    }

    @Test
    void theFirstDaemonOfAZoneFollowsTheStoreItself() throws Exception {
        knowMembers(SELF, member("c", "z"), member("a", "y"));
        follower.step();
        assertEquals(List.of("readAll"), store.calls);
        assertEquals(List.of(), peers.asked);
    }

    @Test
    void asksTheStoreWhileItsRelayIsSilentAndTheRelayAgainLater() throws Exception {
        knowMembers(SELF, RELAY);
        store.held = members().keySet().asList();
        follower.step();
        follower.step();
        assertEquals(List.of("readAll", "await 10"), store.calls);
        assertEquals(1, peers.asked.size());
        time.advance(Duration.ofSeconds(2));
        relayReads(9);
        follower.step();
        assertEquals(2, store.calls.size());
        assertEquals("a:81 10", peers.asked.getLast());
    }

    @Test
    void aRelayThatHasLostTheStoreIsNotFollowed() throws Exception {
        knowMembers(SELF, RELAY);
        relayReads(20);
        time.advance(Duration.ofMillis(1_300));
        follower.step();
        assertEquals(List.of("readAll"), store.calls);
    }

    @Test
    void aRelayWhoseLeaseWasRenewedIsFollowedThoughNothingHasChanged() throws Exception {
        knowMembers(SELF, RELAY);
        relayReads(20);
        time.advance(Duration.ofMillis(1_300));
        FleetRelays ofRelay = new FleetRelays(peers, state::view, RELAY, time);
        new MemberRegistrar(store, state, relayed, ofRelay, RELAY).step();
        store.calls.clear();
        follower.step();
        assertEquals(List.of(), store.calls);
    }

    @Test
    void aDaemonThatFollowsAnotherDoesNotPassForOneThatHeardTheStore() throws Exception {
        knowMembers(SELF, RELAY);
        own.replaceAll(ImmutableMap.of(), 20, Duration.ZERO);
        time.advance(Duration.ofSeconds(2));
        FleetRelays ofSelf = new FleetRelays(peers, state::view, SELF, time);
        new MemberRegistrar(store, state, own, ofSelf, SELF).step();
        assertEquals(Duration.ofSeconds(2), own.updateAfter(20).orElseThrow().age());
    }

    @Test
    void aDaemonThatTheStoreRefusesAsksTheOthersInTurn() throws Exception {
        knowMembers(SELF, member("c", "z"), FAR);
        store.away = true;
        relayed.replaceAll(item("t", 7, SEEN), 20, Duration.ZERO);
        peers.logs.put(FAR.peerAddress(), relayed);
        follower.step();
        assertTrue(state.view().targets().isEmpty());
        follower.step();
        assertEquals(List.of("c:81 -1", "far:81 -1"), peers.asked);
        assertEquals(1, state.view().targets().get("s").size());
        follower.step();
        assertEquals("far:81 20", peers.asked.getLast());
    }

    @Test
    void goesOnFromTheRelaysRevisionWhenItAsksTheStore() throws Exception {
        knowMembers(SELF, RELAY);
        relayReads(20);
        follower.step();
        peers.logs.clear();
        follower.step();
        assertEquals(List.of("await 20"), store.calls);
    }

    @Test
    void whatSaysTheSameAsBeforeIsNotPassedOn() {
        relayed.replaceAll(item("t", 5, SEEN), 20, Duration.ZERO);
        relayed.add(item("t", 21, SEEN), 21, Duration.ZERO);
        assertEquals(new FleetUpdate.Changes(ImmutableList.of(), 21), updateAfter(20));
        FleetChange leaving = new FleetChange.TargetRegistered(target("t", "s", true));
        relayed.add(item("t", 22, leaving), 22, Duration.ZERO);
        assertEquals(new FleetUpdate.Changes(item("t", 22, leaving).keySet().asList(), 22), updateAfter(20));
        assertEquals(new FleetUpdate.Changes(ImmutableList.of(), 22), updateAfter(22));
    }

    @Test
    void whoIsTooFarBehindGetsTheLatestOfEverything() {
        relayed.replaceAll(item("t", 5, SEEN), 20, Duration.ZERO);
        FleetChange leaving = new FleetChange.TargetRegistered(target("t", "s", true));
        relayed.add(item("t", 22, leaving), 22, Duration.ZERO);
        assertEquals(new FleetUpdate.FullState(item("t", 22, leaving).keySet().asList(), 22), updateAfter(19));
    }

    @Test
    void anItemThatIsGoneIsPassedOnAndNoLongerPartOfEverything() {
        relayed.replaceAll(item("t", 5, SEEN), 20, Duration.ZERO);
        StoredItem gone = new StoredItem("t", 23, Optional.empty());
        relayed.add(ImmutableMap.of(gone, ImmutableList.of(new FleetChange.TargetRemoved("t"))), 23, Duration.ZERO);
        assertEquals(new FleetUpdate.Changes(ImmutableList.of(gone), 23), updateAfter(20));
        assertEquals(new FleetUpdate.FullState(ImmutableList.of(), 23), updateAfter(-1));
    }

    @Test
    void ageAddsUpAlongTheWay() {
        assertFalse(relayed.updateAfter(-1).isPresent());
        relayed.replaceAll(ImmutableMap.of(), 20, Duration.ofMillis(300));
        time.advance(Duration.ofMillis(200));
        assertEquals(
                Duration.ofMillis(500), relayed.updateAfter(20).orElseThrow().age());
        assertInstanceOf(FleetUpdate.Changes.class, updateAfter(20));
    }

    private FleetUpdate updateAfter(long revision) {
        return relayed.updateAfter(revision).orElseThrow().update();
    }
}
