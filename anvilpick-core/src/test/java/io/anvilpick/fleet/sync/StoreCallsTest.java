package io.anvilpick.fleet.sync;

import static io.anvilpick.fleet.FleetSamples.member;
import static io.anvilpick.fleet.FleetSamples.revision;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetChange;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.RelayLog;
import io.anvilpick.fleet.ViewFreshness;
import io.anvilpick.fleet.WatchTimes;
import io.anvilpick.fleet.sync.FleetRelays.DirectReaders;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The number of calls to the store, each of which has a price. */
class StoreCallsTest {
    private static final EntryMember FIRST = member("a1", "za");
    private static final EntryMember SECOND = member("a2", "za");
    private static final EntryMember OTHER_ZONE = member("b1", "zb");
    private static final EntryMember OTHER_REGION = new EntryMember("0", "0:80", "0:81", "r2", "zc");
    private static final WatchTimes TIMES = new WatchTimes(Duration.ofMillis(2_500));

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final FakeStore store = new FakeStore();
    private final FakePeers peers = new FakePeers();
    private final FleetState state = new FleetState(time, view -> {});

    private FleetRelays relays(EntryMember self, DirectReaders readers) {
        return new FleetRelays(peers, state::view, self, time, readers);
    }

    private FleetFollower follower(EntryMember self) {
        ViewFreshness freshness = new ViewFreshness(time, TIMES.bound());
        FleetRelays relays = relays(self, DirectReaders.ONE_PER_REGION);
        return FleetFollower.of(
                new FleetFollower.Parts(store, store, state, new RelayLog(time), relays, freshness, TIMES, time));
    }

    private void registerAll() {
        for (EntryMember member : List.of(OTHER_ZONE, SECOND, FIRST, OTHER_REGION)) {
            state.apply(List.of(new FleetChange.MemberRegistered(member)));
        }
    }

    private void runFor(FleetFollower follower, Duration duration) throws InterruptedException {
        long end = time.nanos() + duration.toNanos();
        while (time.nanos() < end) {
            time.advance(follower.step());
        }
    }

    /** Guards against a daemon in each zone that waits for changes at the store although one in the region is enough. */
    @Test
    void firstDaemonsOfOtherZonesFollowTheFirstOfTheRegion() {
        registerAll();
        assertEquals(
                Optional.of(FIRST),
                relays(OTHER_ZONE, DirectReaders.ONE_PER_REGION).assignedRelay());
        assertEquals(
                Optional.empty(), relays(OTHER_ZONE, DirectReaders.ONE_PER_ZONE).assignedRelay());
        assertEquals(
                Optional.of(FIRST), relays(SECOND, DirectReaders.ONE_PER_REGION).assignedRelay());
        assertEquals(
                Optional.empty(), relays(FIRST, DirectReaders.ONE_PER_REGION).assignedRelay());
        assertEquals(
                Optional.empty(),
                relays(OTHER_REGION, DirectReaders.ONE_PER_REGION).assignedRelay());
    }

    /** Guards against a second relay on the way of a change where the bound leaves no time for it. */
    @ParameterizedTest
    @CsvSource({"1500,false", "2000,false", "2500,true", "3000,true", "11000,true"})
    void secondRelayNeedsALongBound(long boundMillis, boolean covered) {
        WatchTimes times = new WatchTimes(Duration.ofMillis(boundMillis));
        assertEquals(covered, times.coversTwoRelays());
        Duration twoQueries = WatchTimes.RELAY_POLL_INTERVAL.multipliedBy(2);
        assertFalse(covered && times.overdueAfter().plus(twoQueries).compareTo(times.bound()) > 0);
    }

    /** Guards against all daemons that call a store which is down, each twice a second. */
    @Test
    void daemonWithARelayRarelyCallsAStoreThatDoesNotAnswer() throws Exception {
        registerAll();
        store.unavailable = true;
        RelayLog old = new RelayLog(time);
        old.replaceAll(ImmutableMap.of(), revision(20), Duration.ofSeconds(3));
        peers.logs.put(FIRST.peerAddress(), old);
        runFor(follower(OTHER_ZONE), Duration.ofSeconds(9));
        assertTrue(store.calls.size() <= 7, () -> store.calls.size() + " calls");
    }

    /** Guards against calls to a store that turns this daemon away while another daemon returns what the store holds. */
    @Test
    void callsTheStoreRarelyWhileAnotherDaemonReturnsCurrentContent() throws Exception {
        registerAll();
        store.unavailable = true;
        RelayLog current = new RelayLog(time);
        FleetFollower follower = follower(FIRST);
        long end = time.nanos() + Duration.ofSeconds(9).toNanos();
        while (time.nanos() < end) {
            current.replaceAll(ImmutableMap.of(), revision(20), Duration.ZERO);
            peers.logs.put(SECOND.peerAddress(), current);
            time.advance(follower.step());
        }
        assertTrue(store.calls.size() <= 7, () -> store.calls.size() + " calls");
    }
}
