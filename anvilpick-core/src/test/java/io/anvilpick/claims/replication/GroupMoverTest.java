package io.anvilpick.claims.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.anvilpick.claims.Claim;
import io.anvilpick.claims.ClaimGroup;
import io.anvilpick.claims.ClaimKey;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.ClaimState;
import io.anvilpick.claims.ClaimTable;
import io.anvilpick.claims.Vote;
import io.anvilpick.config.ConfigurationCodec;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.config.FakePlatform;
import io.anvilpick.membership.Member;
import io.anvilpick.membership.MemberTable;
import io.anvilpick.messages.InstallRequest;
import io.anvilpick.messages.PeerException;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.messages.PeerTransport;
import io.anvilpick.messages.SealRequest;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class GroupMoverTest {
    private static final int DAEMONS = 5;
    private static final String MAP_KEY = "claims/region/map";

    private final ManualTimeSource time = ManualTimeSource.startingAt(1_000);
    private final FakePlatform platform = new FakePlatform(1);
    private final ConfigurationCodec codec = new ConfigurationCodec();
    private final ClaimMapStore store = new ClaimMapStore(platform, codec, "region");
    private final FakeReplicas replicas = new FakeReplicas();
    private final List<Long> broadcastVersions = new ArrayList<>();
    private final String self = RegionFleet.mover(membersSeenBy(0), "region").orElseThrow();
    private final MemberTable members = membersSeenBy(Integer.parseInt(self.substring(1)));
    private final LatestClaimMap maps = new LatestClaimMap(replicas.tables.get(self));
    private final GroupMover mover = newMover();

    /** The replicas of all daemons, called without a network. */
    private final class FakeReplicas implements PeerTransport {
        private final Map<String, ClaimTable> tables = new HashMap<>();
        private final List<String> unresponsive = new ArrayList<>();
        private final List<String> requestedUnresponsive = new ArrayList<>();

        FakeReplicas() {
            for (int i = 0; i < DAEMONS; i++) {
                tables.put("m" + i, new ClaimTable("m" + i, ClaimMap.GROUP_COUNT, time));
            }
        }

        @Override
        public CompletableFuture<PeerReply> send(String peerAddress, PeerRequest request, Deadline deadline) {
            String instance = peerAddress.substring(0, peerAddress.indexOf(':'));
            if (unresponsive.contains(instance)) {
                requestedUnresponsive.add(instance);
                return CompletableFuture.failedFuture(new PeerException("unresponsive", false));
            }
            return CompletableFuture.completedFuture(answer(tables.get(instance), request));
        }
    }

    private static PeerReply answer(ClaimTable table, PeerRequest request) {
        return switch (request) {
            case SealRequest seal -> new PeerReply.Sealed(table.seal(seal.group(), seal.epoch()));
            case InstallRequest install ->
                new PeerReply.Installed(
                        table.install(install.group(), install.epoch(), install.changeId(), install.claims()));
            default -> new PeerReply.Rejected("request: is not sent by a mover");
        };
    }

    private static Member member(int number) {
        return new Member("m" + number, "m" + number + ":80", "m" + number + ":70", "region", "z" + number, false, 1);
    }

    private MemberTable membersSeenBy(int own) {
        MemberTable table = new MemberTable(member(own), time);
        for (int i = 0; i < DAEMONS; i++) {
            table.merge(member(i));
        }
        return table;
    }

    private GroupMover newMover() {
        ClaimTable own = replicas.tables.get(self);
        return GroupMover.builder(self, "region")
                .members(members)
                .maps(maps)
                .store(store)
                .replicas(new ReplicaClient(self, members, replicas, request -> answer(own, request)))
                .time(time)
                .random(new SplittableRandom(1))
                .onMapWritten(() -> broadcastVersions.add(maps.current().version()))
                .build();
    }

    /** Applies the current map at every daemon, as gossip does. */
    private void applyMapEverywhere() {
        replicas.tables.values().forEach(table -> table.apply(maps.current()));
    }

    private String other() {
        return self.equals("m1") ? "m2" : "m1";
    }

    @Test
    void firstStepAssignsReplicasToEveryGroupAndReportsEachWrittenMap() throws Exception {
        GroupMover.Step step = mover.step();
        assertEquals(ClaimMap.GROUP_COUNT, step.moved() + step.restarted());
        assertEquals(0, step.waiting());
        for (ClaimGroup group : maps.current().groups()) {
            assertEquals(DAEMONS, group.replicas().size());
        }
        assertEquals(List.of(1L, 2L, 3L, 4L), broadcastVersions);
        assertTrue(mover.step().isIdle());
    }

    @Test
    void unresponsiveReplicaIsSkippedIfTheOtherReplicasAreAMajority() throws Exception {
        mover.step();
        applyMapEverywhere();
        replicas.unresponsive.add(other());
        members.markGone(other());
        GroupMover.Step step = mover.step();
        assertEquals(ClaimMap.GROUP_COUNT, step.moved());
        assertEquals(List.of(), replicas.requestedUnresponsive);
        for (ClaimGroup group : maps.current().groups()) {
            assertFalse(group.replicas().contains(other()));
        }
    }

    @Test
    void groupThatLostItsMajorityIsRestartedAndTrustsOnlyLaterKeys() throws Exception {
        mover.step();
        applyMapEverywhere();
        int lost = 0;
        for (int i = 0; i < DAEMONS && lost < 3; i++) {
            String instance = "m" + i;
            if (!instance.equals(self)) {
                replicas.unresponsive.add(instance);
                members.markGone(instance);
                lost++;
            }
        }
        GroupMover.Step step = mover.step();
        assertEquals(new GroupMover.Step(0, ClaimMap.GROUP_COUNT, 0, 8), step);
        for (ClaimGroup group : maps.current().groups()) {
            assertEquals(time.epochMillis(), group.trustedFromMillis());
        }
    }

    @Test
    void mapWrittenConcurrentlyByAnotherDaemonIsAdoptedAndNotOverwritten() throws Exception {
        mover.step();
        ClaimMap present = maps.current();
        ClaimMapStore.Stored stored = store.load();
        ClaimMap concurrentMap = new ClaimMap(present.version() + 1, present.groups());
        assertTrue(store.replace(stored.revision(), concurrentMap).isPresent());
        members.markGone(other());
        assertTrue(mover.step().isIdle(), "the next step only adopts the map");
        assertEquals(concurrentMap, maps.current());
        assertEquals(
                concurrentMap.version(),
                broadcastVersions.get(broadcastVersions.size() - 1),
                "the map is reported to the region immediately");
    }

    @Test
    void olderMapInARestoredPlatformIsRejected() throws Exception {
        mover.step();
        platform.put(MAP_KEY, codec.encode(new ClaimMap(1, maps.current().groups())));
        members.markGone(other());
        assertThrows(ConfigurationException.class, mover::step);
    }

    @Test
    void allGroupsServeWhileThePlatformIsUnavailable() throws Exception {
        mover.step();
        applyMapEverywhere();
        platform.setUnavailable(true);
        members.markGone(other());
        assertThrows(PlatformException.class, mover::step);
        for (ClaimGroup group : maps.current().groups()) {
            Claim claim = new Claim(
                    new ClaimKey("service", "tenant", "key" + group.index()),
                    "holder",
                    "print",
                    new ClaimState.Running(),
                    0,
                    Long.MAX_VALUE);
            Vote vote = replicas.tables.get(self).vote(group.index(), group.epoch(), claim);
            assertEquals(new Vote.Granted(), vote, "no group is sealed before the platform has replied");
        }
    }
}
