package io.anvilpick.daemon.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.anvilpick.calls.DispatcherRegistry;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.ClaimTable;
import io.anvilpick.claims.replication.LatestClaimMap;
import io.anvilpick.config.ActiveConfiguration;
import io.anvilpick.config.ConfigurationCodec;
import io.anvilpick.config.SnapshotAssembler;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.membership.Liveness;
import io.anvilpick.membership.Member;
import io.anvilpick.membership.MemberDigest;
import io.anvilpick.membership.MemberHeartbeat;
import io.anvilpick.membership.MemberTable;
import io.anvilpick.messages.GossipRequest;
import io.anvilpick.messages.PeerException;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.messages.PeerTransport;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class GossipTest {
    private static final int ROUNDS = 40;

    private final ManualTimeSource time = ManualTimeSource.startingAt(1);
    private final SplittableRandom random = new SplittableRandom(3);
    private final MemberTable members = new MemberTable(member(0), time);
    private final MemberSample sample = new MemberSample(members, random.split());
    private final FakePeers peers = new FakePeers();
    private final Gossip gossip = newGossip();

    /** Peers that reply with their own digest, leave requests unanswered, or refuse connections. */
    private static final class FakePeers implements PeerTransport {
        private final Map<String, Integer> requestCounts = new HashMap<>();
        private final Map<String, Member> responsive = new HashMap<>();
        private final Map<String, CompletableFuture<PeerReply>> silent = new HashMap<>();

        @Override
        public CompletableFuture<PeerReply> send(String address, PeerRequest request, Deadline deadline) {
            requestCounts.merge(address, 1, Integer::sum);
            if (silent.containsKey(address)) {
                return silent.get(address);
            }
            Member member = responsive.get(address);
            if (member == null) {
                return CompletableFuture.failedFuture(new PeerException("refused", true));
            }
            Member next = member.withBeat(member.beat() + 1);
            responsive.put(address, next);
            MemberDigest digest = MemberDigest.of(ImmutableList.of(next));
            return CompletableFuture.completedFuture(
                    new PeerReply.Gossip(Optional.empty(), Optional.empty(), Optional.empty(), 0, 0, digest));
        }
    }

    private static Member member(int number) {
        return new Member("m" + number, "m" + number + ":80", "m" + number + ":70", "region", "zone", false, 1);
    }

    private Gossip newGossip() {
        ClaimTable claims = new ClaimTable("m0", ClaimMap.GROUP_COUNT, time);
        DispatcherRegistry dispatchers = new DispatcherRegistry(
                () -> Dispatcher.builder().time(time).random(random.split()).build());
        return new Gossip(new Gossip.Parts(
                new DaemonState(new ActiveConfiguration(), new LatestClaimMap(claims), members, dispatchers),
                sample,
                peers,
                new SnapshotAssembler(new ConfigurationCodec()),
                Runnable::run,
                time,
                random.split(),
                ImmutableList.of()));
    }

    private void addResponsivePeer(int number) {
        peers.responsive.put(member(number).peerAddress(), member(number));
        members.merge(member(number));
    }

    private CompletableFuture<PeerReply> addSilentPeer(int number) {
        CompletableFuture<PeerReply> answer = new CompletableFuture<>();
        peers.silent.put(member(number).peerAddress(), answer);
        members.merge(member(number));
        return answer;
    }

    private Liveness livenessOf(int number) {
        return members.find("m" + number).orElseThrow().liveness();
    }

    @Test
    void silentPeerDelaysNeitherOwnHeartbeatNorOtherPeers() {
        addSilentPeer(1);
        addResponsivePeer(2);
        addResponsivePeer(3);
        long before = members.self().orElseThrow().beat();
        for (int round = 0; round < ROUNDS; round++) {
            gossip.round();
            time.advance(MemberTable.MIN_SUSPECT_AFTER.dividedBy(6));
        }
        assertEquals(before + ROUNDS, members.self().orElseThrow().beat());
        assertEquals(Liveness.LIVE, livenessOf(2));
        assertEquals(Liveness.LIVE, livenessOf(3));
        assertEquals(Liveness.SUSPECT, livenessOf(1));
        assertEquals(1, peers.requestCounts.get("m1:70"), "a peer whose exchange is pending is not queried again");
    }

    @Test
    void peerIsQueriedAgainAfterItsExchangeFailed() {
        CompletableFuture<PeerReply> answer = addSilentPeer(1);
        gossip.round();
        gossip.round();
        answer.completeExceptionally(new PeerException("late", false));
        gossip.round();
        assertEquals(2, peers.requestCounts.get("m1:70"));
        assertEquals(Liveness.LIVE, livenessOf(1), "a lost reply alone does not mark the member as gone");
    }

    @Test
    void peerThatRefusesTheConnectionIsGone() {
        members.merge(member(1));
        gossip.round();
        assertEquals(Liveness.GONE, livenessOf(1));
    }

    @Test
    void digestHoldsFewMembersInFullAndHeartbeatsOfTheRest() {
        for (int i = 1; i < 8; i++) {
            members.merge(member(i));
        }
        MemberDigest digest = sample.digest();
        assertEquals("m0", digest.members().get(0).instance());
        assertEquals(3, digest.members().size());
        assertEquals(5, digest.heartbeats().size());
        assertTrue(digest.hasOtherMembers());
        assertFalse(sample.ownDigest().hasOtherMembers());
    }

    @Test
    void leavingMembersAreSentInFullNotAsHeartbeats() {
        for (int i = 1; i < 8; i++) {
            members.merge(member(i).asLeaving(9));
        }
        MemberDigest digest = sample.digest();
        assertEquals(8, digest.members().size());
        assertEquals(ImmutableList.of(), digest.heartbeats());
        MemberTable other = new MemberTable(member(9), time);
        other.merge(member(1));
        other.merge(digest);
        assertEquals(Liveness.LEAVING, other.find("m1").orElseThrow().liveness());
    }

    @Test
    void heartbeatKeepsKnownMemberLiveAndAddsNoUnknownMember() {
        members.merge(member(1));
        time.advance(MemberTable.MIN_SUSPECT_AFTER.plusMillis(1));
        assertEquals(Liveness.SUSPECT, livenessOf(1));
        members.merge(new MemberDigest(
                ImmutableList.of(),
                ImmutableList.of(new MemberHeartbeat("m1", 2), new MemberHeartbeat("stranger", 7))));
        assertEquals(Liveness.LIVE, livenessOf(1));
        assertTrue(members.find("stranger").isEmpty());
        assertEquals(2, members.all().size());
    }

    @Test
    void membersAreMergedFromRequestsAsWellAsReplies() {
        GossipRequest request = new GossipRequest(0, 0, 0, MemberDigest.of(ImmutableList.of(member(5))));
        PeerService service = new PeerService(
                new DaemonState(
                        new ActiveConfiguration(),
                        new LatestClaimMap(new ClaimTable("m0", ClaimMap.GROUP_COUNT, time)),
                        members,
                        new DispatcherRegistry(() ->
                                Dispatcher.builder().time(time).random(random).build())),
                new ClaimTable("m0", ClaimMap.GROUP_COUNT, time),
                sample);
        PeerReply.Gossip reply = (PeerReply.Gossip) service.handle(request);
        assertEquals(Liveness.LIVE, livenessOf(5));
        assertEquals("m0", reply.members().members().get(0).instance());
        assertFalse(reply.members().hasOtherMembers(), "the reply to a request without other members has none either");
    }
}
