package io.anvilpick.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ClaimDecisionsTest {
    private static final ImmutableList<ReplicaCandidate> SIX_CANDIDATES = ImmutableList.of(
            new ReplicaCandidate("a1", "a"),
            new ReplicaCandidate("a2", "a"),
            new ReplicaCandidate("b1", "b"),
            new ReplicaCandidate("b2", "b"),
            new ReplicaCandidate("c1", "c"),
            new ReplicaCandidate("c2", "c"));
    private static final ClaimGroup GROUP =
            new ClaimGroup(0, 1, "change", 0, ImmutableList.of("a1", "a2", "b1", "b2", "c1"));

    private static Claim claim(String holder, ClaimState state) {
        return new Claim(new ClaimKey("s", "t", "k"), holder, "print", state, 0, 0);
    }

    private static ClaimRound.Decision decide(List<Vote> votes) {
        ClaimRound round = new ClaimRound(GROUP);
        Optional<ClaimRound.Decision> decision = Optional.empty();
        for (Vote vote : votes) {
            decision = round.count(vote);
            if (decision.isPresent()) {
                break;
            }
        }
        return decision.orElseThrow();
    }

    @Test
    void majorityOfGrantsWins() {
        assertInstanceOf(
                ClaimRound.Decision.Won.class,
                decide(List.of(new Vote.Granted(), new Vote.NoReply(), new Vote.Granted(), new Vote.Granted())));
    }

    @Test
    void answerStoredAtAnyReplicaIsFound() {
        Claim running = claim("x", new ClaimState.Running());
        Claim done = claim("x", new ClaimState.Done(Optional.of(new StoredAnswer(200, "", new byte[0]))));
        ClaimRound.Decision decision =
                decide(List.of(new Vote.Taken(running), new Vote.Taken(done), new Vote.Taken(running)));
        assertEquals(
                done, assertInstanceOf(ClaimRound.Decision.Held.class, decision).holder());
    }

    @Test
    void splitVotesAreContended() {
        Vote x = new Vote.Taken(claim("x", new ClaimState.Running()));
        Vote y = new Vote.Taken(claim("y", new ClaimState.Running()));
        assertInstanceOf(
                ClaimRound.Decision.Contended.class, decide(List.of(new Vote.Granted(), x, y, new Vote.Granted(), y)));
    }

    @Test
    void tooFewRepliesMakeTheClaimUnavailable() {
        assertInstanceOf(
                ClaimRound.Decision.Unavailable.class,
                decide(List.of(
                        new Vote.Granted(),
                        new Vote.Granted(),
                        new Vote.NoReply(),
                        new Vote.NoReply(),
                        new Vote.NoReply())));
    }

    @Test
    void replicasAreSpreadOverZonesAndRunningReplicasAreRetained() {
        ImmutableList<String> chosen = ReplicaPlacement.choose(0, GROUP.replicas(), SIX_CANDIDATES);
        assertEquals(5, chosen.size());
        for (String zone : List.of("a", "b", "c")) {
            assertTrue(chosen.stream().filter(each -> each.startsWith(zone)).count() <= 2);
        }
        ImmutableList<ReplicaCandidate> withoutA1 = SIX_CANDIDATES.subList(1, 6);
        assertTrue(ReplicaPlacement.choose(0, GROUP.replicas(), withoutA1)
                .containsAll(List.of("a2", "b1", "b2", "c1", "c2")));
    }

    @Test
    void groupSizeIsOddForAnEvenNumberOfDaemons() {
        assertEquals(
                3,
                ReplicaPlacement.choose(0, List.of(), SIX_CANDIDATES.subList(0, 4))
                        .size());
        assertEquals(
                1,
                ReplicaPlacement.choose(0, List.of(), SIX_CANDIDATES.subList(0, 2))
                        .size());
        assertEquals(0, ReplicaPlacement.choose(0, List.of(), List.of()).size());
    }

    @Test
    void groupMovesOnlyIfAMajorityIsReachable() {
        GroupPlanner.Fleet threeReplicasReachable = new GroupPlanner.Fleet(
                SIX_CANDIDATES.subList(2, 6), ImmutableSet.of("b1", "b2", "c1", "c2"), ImmutableSet.of());
        assertInstanceOf(GroupChange.Move.class, GroupPlanner.plan(GROUP, threeReplicasReachable));
        GroupPlanner.Fleet twoReplicasReachable = new GroupPlanner.Fleet(
                SIX_CANDIDATES.subList(3, 6), ImmutableSet.of("b2", "c1", "c2"), ImmutableSet.of());
        assertInstanceOf(GroupChange.Wait.class, GroupPlanner.plan(GROUP, twoReplicasReachable));
    }

    @Test
    void groupRestartsOnlyWhenTheOldEpochCanNeverGrantAgain() {
        GroupPlanner.Fleet twoGone = new GroupPlanner.Fleet(
                SIX_CANDIDATES.subList(3, 6), ImmutableSet.of("b2", "c1", "c2"), ImmutableSet.of("a1", "a2"));
        assertInstanceOf(GroupChange.Wait.class, GroupPlanner.plan(GROUP, twoGone));
        GroupPlanner.Fleet threeGone = new GroupPlanner.Fleet(
                SIX_CANDIDATES.subList(3, 6), ImmutableSet.of("b2", "c1", "c2"), ImmutableSet.of("a1", "a2", "b1"));
        assertInstanceOf(GroupChange.Restart.class, GroupPlanner.plan(GROUP, threeGone));
    }

    @Test
    void keysCreatedBeforeALossAreRejectedAndLaterOnesAreNot() {
        long lossAt = 1_700_000_000_000L;
        ClaimGroup restarted = new ClaimGroup(0, 2, "change", lossAt, GROUP.replicas());
        long day = 86_400_000L;
        long now = lossAt + 200_000;
        assertEquals(Optional.of(KeyAge.Rejection.CLAIMS_LOST), KeyAge.rejectionOf("any key", restarted, day, now));
        assertEquals(
                Optional.of(KeyAge.Rejection.CLAIMS_LOST), KeyAge.rejectionOf(uuidAt(lossAt - 1), restarted, day, now));
        assertEquals(Optional.empty(), KeyAge.rejectionOf(uuidAt(lossAt + 100_000), restarted, day, now));
        assertEquals(Optional.empty(), KeyAge.rejectionOf("any key", restarted, day, lossAt + day));
    }

    @Test
    void keyOlderThanTheRetentionIsExpired() {
        long now = 1_700_000_000_000L;
        long day = 86_400_000L;
        assertEquals(Optional.of(KeyAge.Rejection.EXPIRED), KeyAge.rejectionOf(uuidAt(now - day), GROUP, day, now));
        assertEquals(Optional.empty(), KeyAge.rejectionOf(uuidAt(now - day / 2), GROUP, day, now));
    }

    private static String uuidAt(long millis) {
        return new java.util.UUID((millis << 16) | 0x7abc, 0x8000_0000_0000_0000L).toString();
    }
}
