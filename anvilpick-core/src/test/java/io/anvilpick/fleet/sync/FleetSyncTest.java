package io.anvilpick.fleet.sync;

import static io.anvilpick.fleet.FleetSamples.member;
import static io.anvilpick.fleet.FleetSamples.revision;
import static io.anvilpick.fleet.FleetSamples.target;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.anvilpick.fleet.EntryAddressSelector;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetChange;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.FleetUpdate;
import io.anvilpick.fleet.RelayLog;
import io.anvilpick.fleet.ViewFreshness;
import io.anvilpick.fleet.WatchTimes;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class FleetSyncTest {
    private static final WatchTimes TIMES = new WatchTimes(Duration.ofSeconds(2));
    private static final EntryMember SELF = member("self", "z");

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final FakeStore store = new FakeStore();
    private final ViewFreshness freshness = new ViewFreshness(time, Duration.ofSeconds(2));
    private final FleetState state = new FleetState(time, view -> {});
    private final FakePeers peers = new FakePeers();
    private final RelayLog log = new RelayLog(time);
    private final FleetRelays relays = new FleetRelays(peers, state::view, SELF, time);
    private final FleetFollower follower =
            FleetFollower.of(new FleetFollower.Parts(store, store, state, log, relays, freshness, TIMES, time));
    private final MemberRegistrar registrar = new MemberRegistrar(store, state, SELF, time);

    private void applyOwnRegistration() {
        state.apply(List.of(new FleetChange.MemberRegistered(SELF)));
    }

    @Test
    void readsEverythingOnceAndThenAwaitsChanges() throws Exception {
        follower.step();
        store.updates.add(new FleetUpdate.Changes(
                ImmutableList.of(store.item("a", 12, new FleetChange.TargetRegistered(target("a", "s", false)))),
                revision(12)));
        follower.step();
        follower.step();
        assertEquals(List.of("readAll", "await 10", "await 12"), store.calls);
        assertEquals(1, state.view().targets().get("s").size());
    }

    /** Guards against decoding, and holding at the same time, many versions of a large configuration. */
    @Test
    void decodesOnlyTheLatestVersionOfAnItem() throws Exception {
        follower.step();
        FleetChange registered = new FleetChange.TargetRegistered(target("a", "s", false));
        FleetChange removed = new FleetChange.TargetRemoved("a");
        store.updates.add(new FleetUpdate.Changes(
                ImmutableList.of(
                        store.item("a", 12, registered), store.item("b", 13, removed), store.item("a", 14, registered)),
                revision(14)));
        follower.step();
        assertEquals(List.of(13L, 14L), store.decodedRevisions);
    }

    @Test
    void readsEverythingAgainAfterHistoryIsLost() throws Exception {
        follower.step();
        store.updates.add(new FleetUpdate.HistoryLost());
        follower.step();
        follower.step();
        assertEquals(List.of("readAll", "await 10", "readLatest"), store.calls);
    }

    /** Guards against a follower that stays at an old state, or repeats the same failing changes, after an error. */
    @Test
    void readsEverythingAgainAfterAnErrorInAStep() throws Exception {
        follower.step();
        store.updates.add(new FleetUpdate.Changes(
                ImmutableList.of(store.item("a", 12, new FleetChange.TargetRegistered(target("a", "s", false)))),
                revision(12)));
        store.failDecodingOnce("a", new OutOfMemoryError("full"));
        assertThrows(OutOfMemoryError.class, follower::step);
        store.items = ImmutableList.of(store.item("a", 12, new FleetChange.TargetRegistered(target("a", "s", false))));
        follower.step();
        assertEquals(List.of("readAll", "await 10", "readLatest"), store.calls);
        assertEquals(1, state.view().targets().get("s").size());
    }

    @Test
    void pauseGrowsWithEachFailureUpToALimit() throws Exception {
        store.unavailable = true;
        Duration first = follower.step();
        Duration second = follower.step();
        Duration last = second;
        for (int i = 0; i < 10; i++) {
            last = follower.step();
        }
        assertTrue(first.isPositive() && second.compareTo(first) > 0);
        assertTrue(last.compareTo(Duration.ofSeconds(2)) < 0);
    }

    @Test
    void resumesFromTheSameRevisionAfterAFailure() throws Exception {
        follower.step();
        store.unavailable = true;
        follower.step();
        store.unavailable = false;
        follower.step();
        assertEquals(List.of("readAll", "await 10", "await 10"), store.calls);
    }

    @Test
    void waitIsShortAfterAFailureAndLongAfterASuccess() throws Exception {
        follower.step();
        store.unavailable = true;
        follower.step();
        store.unavailable = false;
        follower.step();
        follower.step();
        assertEquals(List.of(TIMES.maxWait(), Duration.ofMillis(1), TIMES.maxWait()), store.waits);
    }

    /** Guards against changes that a watch without response holds back for longer than the bound (issue 36). */
    @Test
    void waitForChangesLeavesTimeWithinTheBoundToAskAgain() throws Exception {
        Duration bound = Duration.ofSeconds(2);
        follower.step();
        follower.step();
        store.updates.add(new FleetUpdate.Changes(
                ImmutableList.of(store.item("a", 12, new FleetChange.TargetRegistered(target("a", "s", false)))),
                revision(12)));
        Duration pause = follower.step();
        follower.step();
        assertTrue(store.waits.getFirst().compareTo(bound.dividedBy(2)) <= 0, () -> "waits " + store.waits);
        assertTrue(pause.plus(store.waits.getLast()).compareTo(bound.dividedBy(2)) <= 0, () -> "waits " + store.waits);
    }

    @Test
    void failedRenewalAbortsTheWaitForChanges() throws Exception {
        registrar.step();
        store.unavailable = true;
        registrar.step();
        assertEquals("abort", store.calls.getLast());
    }

    @Test
    void registersOnceAndThenRenews() throws Exception {
        registrar.step();
        applyOwnRegistration();
        registrar.step();
        assertEquals(List.of("grant", "register 1", "renew 1"), store.calls);
    }

    @Test
    void registersAgainAfterTheLeaseHasLapsed() throws Exception {
        registrar.step();
        applyOwnRegistration();
        store.leaseValid = false;
        registrar.step();
        assertEquals(List.of("grant", "register 1", "renew 1", "grant", "register 2"), store.calls);
    }

    @Test
    void registersAgainAfterTheRegistrationDisappeared() throws Exception {
        registrar.step();
        applyOwnRegistration();
        state.apply(List.of(new FleetChange.MemberRemoved(SELF.name())));
        registrar.step();
        assertEquals(List.of("grant", "register 1", "renew 1", "register 1"), store.calls);
    }

    @Test
    void restartedDaemonTakesOverTheTimeOfItsRegistration() throws Exception {
        time.advance(Duration.ofMillis(90_000));
        state.apply(List.of(new FleetChange.MemberRegistered(SELF.registeredAt(5_000))));
        registrar.step();
        assertEquals(5_000, store.registered.registeredMillis());
    }

    /** Guards against a time of registration that hides that the entry was missing, or that another process wrote it. */
    @Test
    void entryThatDisappearedOrHadOtherAddressesIsWrittenWithThePresentTime() throws Exception {
        time.advance(Duration.ofMillis(90_000));
        state.apply(List.of(new FleetChange.MemberRegistered(
                new EntryMember(SELF.name(), "other:80", SELF.peerAddress(), "r", "z", 5_000))));
        registrar.step();
        assertEquals(90_000, store.registered.registeredMillis());
        time.advance(Duration.ofMillis(1_000));
        state.apply(List.of(new FleetChange.MemberRemoved(SELF.name())));
        registrar.step();
        assertEquals(91_000, store.registered.registeredMillis());
    }

    @Test
    void leavingDaemonEndsItsLeaseAndStopsRenewing() throws Exception {
        registrar.step();
        registrar.leave();
        registrar.step();
        assertEquals(List.of("grant", "register 1", "end 1"), store.calls);
    }

    @Test
    void callersGetTheDaemonsOfTheirZoneAndAtLeastTwoAddresses() throws Exception {
        state.apply(List.of(
                new FleetChange.MemberRegistered(member("a1", "a")),
                new FleetChange.MemberRegistered(member("a2", "a")),
                new FleetChange.MemberRegistered(member("b1", "b"))));
        EntryAddressSelector selector = new EntryAddressSelector(state::view, SELF);
        assertEquals(List.of("a1:80", "a2:80"), selector.addressesFor("r", "a", true));
        assertEquals(2, selector.addressesFor("r", "b", true).size());
        assertEquals("b1:80", selector.addressesFor("r", "b", true).getFirst());
        assertEquals(List.of("self:80", "a1:80"), selector.addressesFor("r", "z", true));
        assertEquals(List.of("a1:80", "a2:80"), selector.addressesFor("r", "z", false));
    }

    @Test
    void noAddressesWithoutADaemon() throws Exception {
        assertEquals(List.of(), new EntryAddressSelector(state::view, SELF).addressesFor("r", "a", false));
    }
}
