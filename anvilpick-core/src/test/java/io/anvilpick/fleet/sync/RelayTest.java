package io.anvilpick.fleet.sync;

import static io.anvilpick.fleet.FleetSamples.member;
import static io.anvilpick.fleet.FleetSamples.revision;
import static io.anvilpick.fleet.FleetSamples.target;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetChange;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.FleetUpdate;
import io.anvilpick.fleet.RelayLog;
import io.anvilpick.fleet.StoredItem;
import io.anvilpick.fleet.ViewFreshness;
import io.anvilpick.fleet.WatchTimes;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RelayTest {
    private static final EntryMember SELF = member("b", "z");
    private static final EntryMember RELAY = member("a", "z");
    private static final EntryMember FAR = member("far", "y");
    private static final Duration BOUND = Duration.ofSeconds(2);
    private static final WatchTimes TIMES = new WatchTimes(BOUND);
    private static final Duration RELAY_POLL = Duration.ofMillis(250);
    private static final FleetChange REGISTERED = new FleetChange.TargetRegistered(target("t", "s", false));

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final FakeStore store = new FakeStore();
    private final ViewFreshness freshness = new ViewFreshness(time, Duration.ofSeconds(2));
    private final FakePeers peers = new FakePeers();
    private final FleetState state = new FleetState(time, view -> {});
    private final RelayLog ownLog = new RelayLog(time);
    private final RelayLog relayLog = new RelayLog(time);
    private final FleetFollower follower = follower(SELF);

    private FleetFollower follower(EntryMember self) {
        FleetRelays relays = new FleetRelays(peers, state::view, self, time);
        return FleetFollower.of(new FleetFollower.Parts(store, store, state, ownLog, relays, freshness, TIMES, time));
    }

    private void registerMembers(EntryMember... members) {
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

    private void relayHasRead(long revision) {
        relayLog.replaceAll(members(), revision(revision), Duration.ZERO);
        peers.logs.put(RELAY.peerAddress(), relayLog);
    }

    @Test
    void followsTheStoreThroughTheFirstDaemonOfItsZone() throws Exception {
        registerMembers(SELF, RELAY, FAR);
        relayHasRead(20);
        follower.step();
        relayLog.add(item("t", 21, REGISTERED), revision(21), Duration.ZERO);
        follower.step();
        assertEquals(List.of("a:81 -1", "a:81 20"), peers.requests);
        assertEquals(List.of(), store.calls);
        assertEquals(1, state.view().targets().get("s").size());
    }

    @Test
    void firstDaemonOfAZoneFollowsTheStoreDirectly() throws Exception {
        registerMembers(SELF, member("c", "z"), member("a", "y"));
        follower.step();
        assertEquals(List.of("readAll"), store.calls);
        assertEquals(List.of(), peers.requests);
    }

    @Test
    void followsTheStoreWhileTheRelayFailsAndTriesTheRelayAgain() throws Exception {
        registerMembers(SELF, RELAY);
        store.items = members().keySet().asList();
        follower.step();
        follower.step();
        assertEquals(List.of("readAll", "await 10"), store.calls);
        assertEquals(1, peers.requests.size());
        time.advance(Duration.ofSeconds(2));
        relayHasRead(9);
        follower.step();
        assertEquals(2, store.calls.size());
        assertEquals("a:81 10", peers.requests.getLast());
    }

    @Test
    void relayThatTheStoreDoesNotAnswerIsNotFollowed() throws Exception {
        registerMembers(SELF, RELAY);
        relayHasRead(20);
        time.advance(Duration.ofMillis(1_300));
        follower.step();
        assertEquals(List.of("readAll"), store.calls);
    }

    /** A relay reads at the end of each wait. A store that answers 350 ms late delays that. */
    @Test
    void answeredWaitsKeepARelayCurrentWithoutChanges() throws Exception {
        registerMembers(SELF, RELAY);
        relayHasRead(20);
        Duration lateness = Duration.ofMillis(350);
        for (int wait = 0; wait < 3; wait++) {
            time.advance(TIMES.maxWait().plus(lateness));
            follower.step();
            assertEquals(List.of(), store.calls);
            relayLog.add(ImmutableMap.of(), revision(20), Duration.ZERO);
        }
    }

    /** The way of a change behind a watch without response, and behind a relay, is shorter than the bound. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 4_000, 11_000})
    void overdueWatchAnswerAndRelayTakeLessThanTheBound(long boundMillis) {
        WatchTimes times = new WatchTimes(Duration.ofMillis(boundMillis));
        Duration relayAnswerTimeout = Duration.ofMillis(350);
        Duration behindRelay = times.overdueAfter().plus(RELAY_POLL).plus(relayAnswerTimeout);
        assertTrue(behindRelay.compareTo(times.bound()) < 0, () -> "" + behindRelay);
        assertTrue(times.maxRelayAge().plus(RELAY_POLL).compareTo(times.bound()) < 0);
        assertTrue(times.overdueAfter().compareTo(times.maxRelayAge()) < 0);
        assertTrue(times.pauseAfterChanges().compareTo(times.maxWait()) < 0);
    }

    /** Guards against a relay whose follower fails again and again, and that calls its old content current. */
    @Test
    void leaseRenewalDoesNotRefreshTheLogOfARelayThatFailsToFollow() throws Exception {
        follower.step();
        store.updates.add(
                new FleetUpdate.Changes(item("t", 12, REGISTERED).keySet().asList(), revision(12)));
        store.failDecodingOnce("t", new OutOfMemoryError("full"));
        assertThrows(OutOfMemoryError.class, follower::step);
        time.advance(Duration.ofSeconds(2));
        MemberRegistrar registrar = new MemberRegistrar(store, state, SELF, time);
        registrar.step();
        assertEquals(
                Duration.ofSeconds(2),
                ownLog.updateAfter(revision(10)).orElseThrow().age());
        follower.step();
        time.advance(Duration.ofSeconds(2));
        registrar.step();
        assertEquals(
                Duration.ofSeconds(2),
                ownLog.updateAfter(revision(10)).orElseThrow().age());
    }

    /** Guards against a relay that counts as current by its lease renewals while its watch gets no response (issue 36). */
    @Test
    void relayWhoseWatchGetsNoResponseIsLeftWithinTheBound() throws Exception {
        registerMembers(SELF, RELAY);
        relayHasRead(20);
        MemberRegistrar registrarOfRelay = new MemberRegistrar(store, state, RELAY, time);
        for (Duration elapsed = Duration.ZERO; elapsed.compareTo(BOUND) < 0; elapsed = elapsed.plus(RELAY_POLL)) {
            registrarOfRelay.step();
            store.calls.clear();
            follower.step();
            if (!store.calls.isEmpty()) {
                return;
            }
            time.advance(RELAY_POLL);
        }
        fail("still follows the relay after " + BOUND);
    }

    @Test
    void leaseRenewalOfADaemonWithARelayDoesNotRefreshItsLog() throws Exception {
        registerMembers(SELF, RELAY);
        ownLog.replaceAll(ImmutableMap.of(), revision(20), Duration.ZERO);
        time.advance(Duration.ofSeconds(2));
        new MemberRegistrar(store, state, SELF, time).step();
        assertEquals(
                Duration.ofSeconds(2),
                ownLog.updateAfter(revision(20)).orElseThrow().age());
    }

    @Test
    void queriesTheOtherDaemonsInTurnWhileTheStoreIsUnavailable() throws Exception {
        registerMembers(SELF, member("c", "z"), FAR);
        store.unavailable = true;
        relayLog.replaceAll(item("t", 7, REGISTERED), revision(20), Duration.ZERO);
        peers.logs.put(FAR.peerAddress(), relayLog);
        follower.step();
        assertTrue(state.view().targets().isEmpty());
        follower.step();
        assertEquals(List.of("c:81 -1", "far:81 -1"), peers.requests);
        assertEquals(1, state.view().targets().get("s").size());
        follower.step();
        assertEquals("far:81 20", peers.requests.getLast());
    }

    @Test
    void resumesFromTheRevisionOfTheRelayWhenItReadsTheStore() throws Exception {
        registerMembers(SELF, RELAY);
        relayHasRead(20);
        follower.step();
        peers.logs.clear();
        follower.step();
        assertEquals(List.of("await 20"), store.calls);
    }

    @Test
    void unchangedItemsAreNotRelayed() {
        relayLog.replaceAll(item("t", 5, REGISTERED), revision(20), Duration.ZERO);
        relayLog.add(item("t", 21, REGISTERED), revision(21), Duration.ZERO);
        assertEquals(new FleetUpdate.Changes(ImmutableList.of(), revision(21)), updateAfter(20));
        FleetChange leaving = new FleetChange.TargetRegistered(target("t", "s", true));
        relayLog.add(item("t", 22, leaving), revision(22), Duration.ZERO);
        assertEquals(new FleetUpdate.Changes(item("t", 22, leaving).keySet().asList(), revision(22)), updateAfter(20));
        assertEquals(new FleetUpdate.Changes(ImmutableList.of(), revision(22)), updateAfter(22));
    }

    /** Guards against a heap full of old versions of a large configuration. */
    @Test
    void earlierVersionsOfAnItemAreNotKept() {
        relayLog.replaceAll(item("t", 5, REGISTERED), revision(20), Duration.ZERO);
        ImmutableMap<StoredItem, ImmutableList<FleetChange>> last = item("c", 0, REGISTERED);
        for (int revision = 21; revision < 10_000; revision++) {
            last = item("c", revision, new FleetChange.TargetRemoved("t-" + revision));
            relayLog.add(last, revision(revision), Duration.ZERO);
        }
        assertEquals(new FleetUpdate.Changes(last.keySet().asList(), revision(9_999)), updateAfter(20));
    }

    @Test
    void followerThatIsTooFarBehindGetsTheFullState() {
        relayLog.replaceAll(item("t", 5, REGISTERED), revision(20), Duration.ZERO);
        FleetChange leaving = new FleetChange.TargetRegistered(target("t", "s", true));
        relayLog.add(item("t", 22, leaving), revision(22), Duration.ZERO);
        assertEquals(
                new FleetUpdate.FullState(item("t", 22, leaving).keySet().asList(), revision(22)), updateAfter(19));
    }

    @Test
    void deletionIsRelayedAndLeavesTheFullState() {
        relayLog.replaceAll(item("t", 5, REGISTERED), revision(20), Duration.ZERO);
        StoredItem deleted = new StoredItem("t", revision(23), Optional.empty());
        relayLog.add(
                ImmutableMap.of(deleted, ImmutableList.of(new FleetChange.TargetRemoved("t"))),
                revision(23),
                Duration.ZERO);
        assertEquals(new FleetUpdate.Changes(ImmutableList.of(deleted), revision(23)), updateAfter(20));
        assertEquals(new FleetUpdate.FullState(ImmutableList.of(), revision(23)), updateAfter(-1));
    }

    /** Guards against an evacuation, or its end, that reaches only the daemons that read the store themselves. */
    @Test
    void followerLearnsOfAnEvacuationAndItsEnd() throws Exception {
        registerMembers(SELF, RELAY);
        relayHasRead(20);
        follower.step();
        relayLog.add(item("e", 21, new FleetChange.ZoneEvacuated("y")), revision(21), Duration.ZERO);
        follower.step();
        assertEquals(ImmutableSet.of("y"), state.view().evacuatedZones());
        relayLog.add(item("e", 22, new FleetChange.ZoneEvacuated("y")), revision(22), Duration.ZERO);
        assertEquals(new FleetUpdate.Changes(ImmutableList.of(), revision(22)), updateAfter(21));
        StoredItem deleted = store.deletion("e", 23, new FleetChange.ZoneReturned("y"));
        relayLog.add(
                ImmutableMap.of(deleted, ImmutableList.of(new FleetChange.ZoneReturned("y"))),
                revision(23),
                Duration.ZERO);
        follower.step();
        assertEquals(ImmutableSet.of(), state.view().evacuatedZones());
    }

    @Test
    void ageIncludesTheAgeOfTheSource() {
        assertFalse(relayLog.updateAfter(revision(-1)).isPresent());
        relayLog.replaceAll(ImmutableMap.of(), revision(20), Duration.ofMillis(300));
        time.advance(Duration.ofMillis(200));
        assertEquals(
                Duration.ofMillis(500),
                relayLog.updateAfter(revision(20)).orElseThrow().age());
        assertInstanceOf(FleetUpdate.Changes.class, updateAfter(20));
    }

    private FleetUpdate updateAfter(long revision) {
        return relayLog.updateAfter(revision(revision)).orElseThrow().update();
    }
}
