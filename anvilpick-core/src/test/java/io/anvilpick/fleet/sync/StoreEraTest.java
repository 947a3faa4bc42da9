package io.anvilpick.fleet.sync;

import static io.anvilpick.fleet.FleetSamples.configuration;
import static io.anvilpick.fleet.FleetSamples.member;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.dispatch.TargetTraits;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.FleetUpdate;
import io.anvilpick.fleet.RegisteredTarget;
import io.anvilpick.fleet.RelayLog;
import io.anvilpick.fleet.StoreRevision;
import io.anvilpick.fleet.ViewFreshness;
import io.anvilpick.fleet.WatchTimes;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Daemons at a simulated store that returns from an older copy. */
class StoreEraTest {
    private static final EntryMember FIRST = member("a", "z");
    private static final EntryMember SECOND = member("b", "z");
    private static final WatchTimes TIMES = new WatchTimes(Duration.ofSeconds(2));
    private static final long FIRST_START = 1_000;
    private static final long SECOND_START = 2_000;

    /** Time between the last write before a copy and the copy, and between the copy and the next write. */
    private static final Duration MOMENT = Duration.ofMillis(100);

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final RewindableStore store = new RewindableStore(time, 1);
    private final FakePeers peers = new FakePeers();

    private final class Daemon {
        private final RewindableStore.Client client = store.new Client();
        private final FleetState state = new FleetState(time, view -> {});
        private final RelayLog log = new RelayLog(time);
        private final MemberRegistrar registrar;
        private final FleetFollower follower;

        private Daemon(EntryMember self) {
            registrar = new MemberRegistrar(client, state, self, time);
            FleetRelays relays = new FleetRelays(peers, state::view, self, time);
            ViewFreshness freshness = new ViewFreshness(time, TIMES.bound());
            follower = FleetFollower.of(
                    new FleetFollower.Parts(client, store, state, log, relays, freshness, TIMES, time));
            peers.logs.put(self.peerAddress(), log);
        }

        /** Runs until the follower has noticed a new era, read everything and waited for changes. */
        private void follow() throws InterruptedException {
            for (int i = 0; i < 3; i++) {
                follower.step();
            }
            state.expire();
        }

        private void endGracePeriod() throws InterruptedException {
            time.advance(FleetState.REREGISTRATION_GRACE);
            follow();
        }

        private List<String> targets() {
            return state.view().targets().getOrDefault("s", ImmutableList.of()).stream()
                    .map(target -> target.id() + "@" + target.config().port())
                    .sorted()
                    .toList();
        }

        private long version() {
            return state.view().configuration().orElseThrow().version();
        }
    }

    private static RegisteredTarget target(String id, int port, long born) {
        return target(id, port, born, false);
    }

    private static RegisteredTarget target(String id, int port, long born, boolean leaving) {
        return new RegisteredTarget(
                new TargetConfig(id, "10.0.0.1", port, "z", leaving), "s", new TargetTraits(2, new Deadline(0), born));
    }

    private static RegisteredTarget draining(RegisteredTarget target) {
        return target(target.id(), target.config().port(), target.traits().bornMillis(), true);
    }

    private final RegisteredTarget one = target("one", 1, FIRST_START);
    private final RegisteredTarget two = target("two", 2, FIRST_START);
    private final RegisteredTarget three = target("three", 3, FIRST_START);

    /** Returns a daemon that has read configuration 1 and three targets, all of which are in each copy made from now on. */
    private Daemon settledDaemon() throws InterruptedException {
        store.put(FIRST);
        store.put(configuration(1));
        store.put(one);
        store.put(two);
        store.put(three);
        Daemon daemon = new Daemon(FIRST);
        daemon.follow();
        time.advance(MOMENT);
        return daemon;
    }

    /** Lets {@code daemon} read what was written, until {@code age} after the copy, and makes the store return from that. */
    private void goBack(Daemon daemon, long ageMillis) throws InterruptedException {
        daemon.follow();
        Duration age = Duration.ofMillis(ageMillis);
        time.advance(age.minus(MOMENT));
        daemon.follow();
        store.goBack(age);
        daemon.follow();
    }

    /** Advances the time from that of the copy to that of the next write. */
    private void afterCopy() {
        time.advance(MOMENT);
    }

    /** Guards against a daemon that waits for numbers of the former era and misses all changes of the new one. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 5_000, 30_000})
    void changesOfTheNewEraTakeEffectInCalmTimes(long ageMillis) throws Exception {
        Daemon daemon = settledDaemon();
        afterCopy();
        for (int heartbeat = 0; heartbeat < 20; heartbeat++) {
            store.put(one);
        }
        goBack(daemon, ageMillis);
        assertEquals(List.of("one@1", "three@3", "two@2"), daemon.targets());
        store.removeTarget("two");
        daemon.follow();
        assertEquals(List.of("one@1", "three@3"), daemon.targets());
        assertEquals(2, daemon.state.era());
    }

    /** Guards against changes whose numbers the new era has assigned again, so that the store does not answer with 410. */
    @Test
    void changesBehindNumbersThatWereAssignedAgainAreRead() throws Exception {
        Daemon daemon = settledDaemon();
        afterCopy();
        store.put(one);
        daemon.follow();
        time.advance(MOMENT);
        store.goBack(MOMENT.multipliedBy(2));
        store.put(configuration(2));
        store.put(draining(three));
        store.put(draining(two));
        daemon.follow();
        assertEquals(List.of("one@1"), daemon.targets());
        assertEquals(2, daemon.version());
    }

    /** Guards against the loss of targets that registered since the copy was made and are alive. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 5_000, 30_000})
    void targetsAndDaemonsThatTheCopyLacksAreKeptForTheGracePeriod(long ageMillis) throws Exception {
        Daemon daemon = settledDaemon();
        afterCopy();
        store.put(target("new", 4, SECOND_START));
        store.put(target("gone", 5, SECOND_START));
        store.put(SECOND);
        goBack(daemon, ageMillis);
        assertEquals(List.of("gone@5", "new@4", "one@1", "three@3", "two@2"), daemon.targets());
        assertEquals(List.of(FIRST, SECOND), daemon.state.view().members());
        store.put(target("new", 4, SECOND_START));
        store.put(SECOND);
        daemon.follow();
        daemon.endGracePeriod();
        assertEquals(List.of("new@4", "one@1", "three@3", "two@2"), daemon.targets());
        assertEquals(List.of(FIRST, SECOND), daemon.state.view().members());
    }

    /** Guards against calls to a target that was deleted in the new era, because lapsed registrations are kept. */
    @Test
    void deletionInTheNewEraTakesEffectInTheGracePeriod() throws Exception {
        Daemon daemon = settledDaemon();
        afterCopy();
        store.put(target("new", 4, SECOND_START));
        goBack(daemon, 1_000);
        store.put(target("new", 4, SECOND_START));
        store.removeTarget("new");
        daemon.follow();
        assertEquals(List.of("one@1", "three@3", "two@2"), daemon.targets());
    }

    /** Guards against a return to an older configuration, and against one that stays for ever. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 5_000, 30_000})
    void configurationDoesNotGoBack(long ageMillis) throws Exception {
        Daemon daemon = settledDaemon();
        afterCopy();
        store.put(configuration(2));
        goBack(daemon, ageMillis);
        assertEquals(2, daemon.version());
        daemon.endGracePeriod();
        assertEquals(2, daemon.version());
        store.put(configuration(3));
        daemon.follow();
        assertEquals(3, daemon.version());
    }

    /** Guards against calls to a draining target because the copy was made before the drain. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 5_000, 30_000})
    void drainingTargetStaysSo(long ageMillis) throws Exception {
        Daemon daemon = settledDaemon();
        afterCopy();
        store.put(draining(one));
        goBack(daemon, ageMillis);
        assertEquals(List.of("three@3", "two@2"), daemon.targets());
        time.advance(Duration.ofSeconds(2));
        daemon.follow();
        assertEquals(List.of("three@3", "two@2"), daemon.targets());
        store.put(draining(one));
        daemon.follow();
        daemon.endGracePeriod();
        assertEquals(List.of("three@3", "two@2"), daemon.targets());
    }

    /** Guards against a target that gets no calls for good though its entry is the one that the store holds. */
    @Test
    void entryThatNobodyCorrectedTakesEffectAfterTheGracePeriod() throws Exception {
        Daemon daemon = settledDaemon();
        afterCopy();
        store.put(draining(one));
        goBack(daemon, 1_000);
        daemon.endGracePeriod();
        assertEquals(List.of("one@1", "three@3", "two@2"), daemon.targets());
    }

    /** Guards against calls to a target that was shut down, or to the address of another one. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 5_000, 30_000})
    void removedTargetDoesNotReturnAndItsAddressStaysWithItsSuccessor(long ageMillis) throws Exception {
        Daemon daemon = settledDaemon();
        afterCopy();
        store.removeTarget("one");
        store.removeTarget("two");
        store.put(target("successor", 1, FIRST_START));
        goBack(daemon, ageMillis);
        assertEquals(List.of("successor@1", "three@3"), daemon.targets());
    }

    /** Guards against a daemon that sends calls to an address taken over while both entries were known. */
    @Test
    void entryOfAnAddressThatAnotherTargetHasTakenOverIsHeldBack() throws Exception {
        Daemon daemon = settledDaemon();
        afterCopy();
        store.put(target("successor", 1, TargetTraits.UNKNOWN_START));
        store.put(target("one", 9, TargetTraits.UNKNOWN_START));
        goBack(daemon, 1_000);
        assertEquals(List.of("one@9", "successor@1", "three@3", "two@2"), daemon.targets());
    }

    /** Guards against calls to the former processes of restarted targets, and against live ones that are held back. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 5_000, 30_000})
    void rollingRestartIsNotUndone(long ageMillis) throws Exception {
        Daemon daemon = settledDaemon();
        store.put(draining(three));
        daemon.follow();
        time.advance(MOMENT);
        afterCopy();
        store.removeTarget("three");
        store.put(target("three", 13, SECOND_START));
        store.put(draining(one));
        store.removeTarget("one");
        store.put(target("one", 11, SECOND_START));
        store.put(draining(two));
        goBack(daemon, ageMillis);
        assertEquals(List.of("one@11", "three@13"), daemon.targets());
        store.put(target("two", 12, SECOND_START));
        daemon.follow();
        assertEquals(List.of("one@11", "three@13", "two@12"), daemon.targets());
        store.put(target("one", 11, SECOND_START));
        store.put(target("three", 13, SECOND_START));
        daemon.follow();
        daemon.endGracePeriod();
        assertEquals(List.of("one@11", "three@13", "two@12"), daemon.targets());
    }

    /** Guards against a drain that is forgotten when the store goes back once more in the grace period. */
    @Test
    void secondChangeOfEraInTheGracePeriodKeepsWhatWasKnown() throws Exception {
        Daemon daemon = settledDaemon();
        afterCopy();
        store.put(draining(one));
        store.removeTarget("two");
        store.put(target("new", 4, SECOND_START));
        goBack(daemon, 1_000);
        time.advance(Duration.ofSeconds(1));
        store.goBack(Duration.ofSeconds(1));
        daemon.follow();
        time.advance(Duration.ofSeconds(2));
        daemon.follow();
        assertEquals(3, daemon.state.era());
        assertEquals(List.of("new@4", "three@3"), daemon.targets());
    }

    /** Guards against outdated entries that take effect because the store is lost again in the grace period. */
    @Test
    void entriesStayHeldBackWhileTheStoreIsLostAgain() throws Exception {
        Daemon daemon = settledDaemon();
        afterCopy();
        store.put(draining(one));
        goBack(daemon, 1_000);
        daemon.client.unavailable = true;
        daemon.follow();
        time.advance(Duration.ofSeconds(10));
        daemon.follow();
        assertEquals(List.of("three@3", "two@2"), daemon.targets());
    }

    /** Guards against daemons that do not serve, or stay behind, when all of them start with the older copy. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 5_000, 30_000})
    void daemonsThatStartWithTheOlderCopyFollowWhatIsWrittenAgain(long ageMillis) throws Exception {
        Daemon lost = settledDaemon();
        afterCopy();
        store.put(configuration(2));
        store.put(target("new", 4, SECOND_START));
        goBack(lost, ageMillis);
        Daemon started = new Daemon(FIRST);
        started.follow();
        assertEquals(1, started.version());
        assertEquals(List.of("one@1", "three@3", "two@2"), started.targets());
        store.put(configuration(2));
        store.put(target("new", 4, SECOND_START));
        store.removeTarget("one");
        started.follow();
        assertEquals(2, started.version());
        assertEquals(List.of("new@4", "three@3", "two@2"), started.targets());
    }

    /** Guards against a late answer of the former era that undoes what was read in the new one. */
    @Test
    void lateAnswersOfTheFormerEraChangeNothing() throws Exception {
        Daemon daemon = settledDaemon();
        afterCopy();
        FleetUpdate formerChanges = store.changesAfter(0);
        FleetUpdate formerState = store.fullState();
        goBack(daemon, 1_000);
        store.put(draining(one));
        daemon.follow();
        daemon.endGracePeriod();
        daemon.client.lateUpdate = Optional.of(formerChanges);
        daemon.follower.step();
        assertEquals(List.of("three@3", "two@2"), daemon.targets());
        daemon.client.lateUpdate = Optional.of(new FleetUpdate.HistoryLost());
        daemon.follower.step();
        daemon.client.lateUpdate = Optional.of(formerState);
        daemon.follower.step();
        assertEquals(List.of("three@3", "two@2"), daemon.targets());
        daemon.follow();
        assertEquals(2, daemon.state.era());
    }

    /** Guards against a relay that sends changes by a number of another era. */
    @Test
    void relayAnswersAFollowerOfAnotherEraWithAllThatItHas() throws Exception {
        Daemon relay = settledDaemon();
        for (long era = 0; era < 3; era++) {
            StoreRevision after = new StoreRevision(era, 1_000);
            FleetUpdate update = relay.log.updateAfter(after).orElseThrow().update();
            if (era == 1) {
                assertInstanceOf(FleetUpdate.Changes.class, update);
            } else {
                assertEquals(
                        5,
                        assertInstanceOf(FleetUpdate.FullState.class, update)
                                .items()
                                .size());
            }
        }
    }

    /** Guards against a follower that keeps the former era because it calls the store never. */
    @Test
    void relayOfALaterEraMakesItsFollowersReadAll() throws Exception {
        Daemon relay = settledDaemon();
        store.put(SECOND);
        relay.follow();
        Daemon follower = new Daemon(SECOND);
        follower.follow();
        time.advance(MOMENT);
        afterCopy();
        store.put(draining(one));
        relay.follow();
        follower.follow();
        time.advance(MOMENT);
        store.goBack(MOMENT.multipliedBy(2));
        relay.follow();
        store.calls.clear();
        follower.follow();
        assertEquals(List.of(), store.calls);
        assertEquals(2, follower.state.era());
        assertEquals(List.of("three@3", "two@2"), follower.targets());
    }

    /** Guards against a follower that goes back to the former era with its relay. */
    @Test
    void relayOfAnEarlierEraIsIgnored() throws Exception {
        Daemon relay = settledDaemon();
        store.put(SECOND);
        relay.follow();
        Daemon follower = new Daemon(SECOND);
        follower.follow();
        time.advance(MOMENT);
        store.goBack(MOMENT);
        peers.logs.remove(FIRST.peerAddress());
        follower.follow();
        assertEquals(2, follower.state.era());
        store.put(draining(one));
        peers.logs.put(FIRST.peerAddress(), relay.log);
        relay.log.add(ImmutableMap.of(), new StoreRevision(1, 500), Duration.ZERO);
        time.advance(Duration.ofSeconds(2));
        relay.log.add(ImmutableMap.of(), new StoreRevision(1, 500), Duration.ZERO);
        peers.requests.clear();
        follower.follow();
        assertFalse(peers.requests.isEmpty());
        assertEquals(2, follower.state.era());
        assertEquals(List.of("three@3", "two@2"), follower.targets());
    }

    /** Guards against a daemon that is missing for others until its next renewal of a lease that is gone. */
    @Test
    void daemonRegistersAnewAtOnceWhenTheEraChanges() throws Exception {
        Daemon daemon = settledDaemon();
        daemon.registrar.step();
        daemon.follow();
        store.calls.clear();
        Duration interval = daemon.registrar.checkEra();
        assertEquals(List.of(), store.calls);
        assertTrue(interval.compareTo(Duration.ofMillis(250)) <= 0, () -> "interval " + interval);
        goBack(daemon, 30_000);
        store.calls.clear();
        daemon.registrar.checkEra();
        assertEquals(List.of("renew", "grant", "register"), store.calls);
        store.calls.clear();
        daemon.registrar.checkEra();
        assertEquals(List.of(), store.calls);
    }
}
