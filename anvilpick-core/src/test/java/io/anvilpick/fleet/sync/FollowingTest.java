package io.anvilpick.fleet.sync;

import static io.anvilpick.fleet.FleetSamples.member;
import static io.anvilpick.fleet.FleetSamples.target;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.anvilpick.fleet.EntryAddressSelector;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetChange;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.FleetUpdate;
import io.anvilpick.fleet.RelayLog;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class FollowingTest {
    private static final EntryMember SELF = member("self", "z");

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final FakeStore store = new FakeStore();
    private final FleetState state = new FleetState(time, view -> {});
    private final FakePeers peers = new FakePeers();
    private final RelayLog log = new RelayLog(time);
    private final FleetRelays relays = new FleetRelays(peers, state::view, SELF, time);
    private final FleetFollower follower =
            FleetFollower.of(new FleetFollower.Parts(store, store, state, log, relays, time));
    private final MemberRegistrar registrar = new MemberRegistrar(store, state, log, relays, SELF);

    private void tellOfSelf() {
        state.apply(List.of(new FleetChange.MemberRegistered(SELF)));
    }

    @Test
    void readsOnceAndThenFollowsFromTheRevision() throws Exception {
        follower.step();
        store.updates.add(new FleetUpdate.Changes(
                ImmutableList.of(store.item("a", 12, new FleetChange.TargetRegistered(target("a", "s", false)))), 12));
        follower.step();
        follower.step();
        assertEquals(List.of("readAll", "await 10", "await 12"), store.calls);
        assertEquals(1, state.view().targets().get("s").size());
    }

    @Test
    void readsAnewWhenTheHistoryIsLost() throws Exception {
        follower.step();
        store.updates.add(new FleetUpdate.HistoryLost());
        follower.step();
        follower.step();
        assertEquals(List.of("readAll", "await 10", "readLatest"), store.calls);
    }

    @Test
    void pausesLongerAfterEachFailureUpToABound() throws Exception {
        store.away = true;
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
    void goesOnFromTheRevisionAfterAFailure() throws Exception {
        follower.step();
        store.away = true;
        follower.step();
        store.away = false;
        follower.step();
        assertEquals(List.of("readAll", "await 10", "await 10"), store.calls);
    }

    @Test
    void asksForAShortAnswerAfterAFailureAndWaitsLongAfterThat() throws Exception {
        follower.step();
        store.away = true;
        follower.step();
        store.away = false;
        follower.step();
        follower.step();
        assertEquals(
                List.of(FleetFollower.LONGEST_WAIT, Duration.ofMillis(1), FleetFollower.LONGEST_WAIT), store.waits);
    }

    @Test
    void aFailedRenewalEndsAWaitWhoseConnectionMayBeDead() throws Exception {
        registrar.step();
        store.away = true;
        registrar.step();
        assertEquals("abort", store.calls.getLast());
    }

    @Test
    void registersOnceAndThenRenews() throws Exception {
        registrar.step();
        tellOfSelf();
        registrar.step();
        assertEquals(List.of("grant", "register 1", "renew 1"), store.calls);
    }

    @Test
    void registersAnewWhenTheLeaseHasLapsed() throws Exception {
        registrar.step();
        tellOfSelf();
        store.leaseLives = false;
        registrar.step();
        assertEquals(List.of("grant", "register 1", "renew 1", "grant", "register 2"), store.calls);
    }

    @Test
    void registersAnewWhenTheRegistrationVanishedWithoutAWord() throws Exception {
        registrar.step();
        tellOfSelf();
        state.apply(List.of(new FleetChange.MemberRemoved(SELF.name())));
        registrar.step();
        assertEquals(List.of("grant", "register 1", "renew 1", "register 1"), store.calls);
    }

    @Test
    void aDaemonThatLeavesEndsItsLeaseAndRenewsNoMore() throws Exception {
        registrar.step();
        registrar.leave();
        registrar.step();
        assertEquals(List.of("grant", "register 1", "end 1"), store.calls);
    }

    @Test
    void callersAreSentToTheirOwnZoneAndToASecondDaemonWhereItHasOne() throws Exception {
        state.apply(List.of(
                new FleetChange.MemberRegistered(member("a1", "a")),
                new FleetChange.MemberRegistered(member("a2", "a")),
                new FleetChange.MemberRegistered(member("b1", "b"))));
        EntryAddressSelector book = new EntryAddressSelector(state::view, SELF);
        assertEquals(List.of("a1:80", "a2:80"), book.addressesFor("r", "a", true));
        assertEquals(2, book.addressesFor("r", "b", true).size());
        assertEquals("b1:80", book.addressesFor("r", "b", true).getFirst());
        assertEquals(List.of("self:80", "a1:80"), book.addressesFor("r", "z", true));
        assertEquals(List.of("a1:80", "a2:80"), book.addressesFor("r", "z", false));
    }

    @Test
    void withoutADaemonThereIsNoAddress() throws Exception {
        assertEquals(List.of(), new EntryAddressSelector(state::view, SELF).addressesFor("r", "a", false));
    }
}
