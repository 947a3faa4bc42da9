package io.anvilpick.claims.replication;

import io.anvilpick.claims.Claim;
import io.anvilpick.claims.ClaimGroup;
import io.anvilpick.claims.ClaimKey;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.ClaimRound;
import io.anvilpick.claims.ClaimState;
import io.anvilpick.claims.KeyAge;
import io.anvilpick.claims.Vote;
import io.anvilpick.messages.ClaimReleaseRequest;
import io.anvilpick.messages.ClaimSettleRequest;
import io.anvilpick.messages.ClaimVoteRequest;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.random.RandomGenerator;

/**
 * Claims keys at the replicas of their group, and reports to the replicas how the calls ended. Thread safe if its
 * source of randomness is.
 */
public final class Claimer {
    private static final Duration VOTE_TIMEOUT = Duration.ofMillis(500);
    private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_CONTENDED_ROUNDS = 5;
    private static final long MIN_PAUSE_MILLIS = 2;
    private static final long PAUSE_JITTER_MILLIS = 20;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long RUN_MARGIN_MILLIS = 1_000;

    private final LatestClaimMap maps;
    private final ReplicaClient replicas;
    private final TimeSource time;
    private final RandomGenerator random;

    /**
     * A request of a call to claim a key.
     *
     * @param key the key to claim
     * @param fingerprint digest of the call's request
     * @param retentionMillis time for which the claim is retained, in milliseconds
     * @param deadline latest time at which the call ends
     */
    public record ClaimRequest(ClaimKey key, String fingerprint, long retentionMillis, Deadline deadline) {}

    /** Creates a claimer. */
    public Claimer(LatestClaimMap maps, ReplicaClient replicas, TimeSource time, RandomGenerator random) {
        this.maps = maps;
        this.replicas = replicas;
        this.time = time;
        this.random = random;
    }

    /**
     * Claims a key.
     *
     * <p>Blocks until the claim is decided or the deadline of {@code request} passes. A round in which no call is shown
     * to hold the key is repeated after a random pause. After several contended rounds, another call counts as the
     * holder.
     */
    public ClaimOutcome claim(ClaimRequest request) throws InterruptedException {
        String holder = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
        ClaimTicket ticket = new ClaimTicket(request.key(), holder);
        int contendedRounds = 0;
        while (!request.deadline().hasPassed(time)) {
            ClaimMap map = maps.current();
            if (map.isEmpty()) {
                pause(request.deadline());
                continue;
            }
            ClaimGroup group = map.groupOf(request.key());
            Optional<KeyAge.Rejection> rejection =
                    KeyAge.rejectionOf(request.key().key(), group, request.retentionMillis(), time.epochMillis());
            if (rejection.isPresent()) {
                return new ClaimOutcome.KeyRejected(rejection.get());
            }
            ClaimRound.Decision decision = vote(group, claimOf(request, holder), request.deadline());
            if (decision instanceof ClaimRound.Decision.Won) {
                return new ClaimOutcome.Won(ticket);
            }
            releaseAt(group, ticket);
            if (decision instanceof ClaimRound.Decision.Held held) {
                return new ClaimOutcome.Held(held.holder().asOf(time.epochMillis()));
            }
            if (decision instanceof ClaimRound.Decision.Contended contended
                    && ++contendedRounds == MAX_CONTENDED_ROUNDS) {
                return new ClaimOutcome.Held(contended.holder().asOf(time.epochMillis()));
            }
            pause(request.deadline());
        }
        return new ClaimOutcome.Unavailable();
    }

    /** Reports the final state of the call that holds {@code ticket}, without waiting for the replicas' replies. */
    public void settle(ClaimTicket ticket, ClaimState finalState) {
        ClaimMap map = maps.current();
        if (map.isEmpty()) {
            return;
        }
        ClaimGroup group = map.groupOf(ticket.key());
        sendToAll(group, new ClaimSettleRequest(group.index(), ticket.key(), ticket.holder(), finalState));
    }

    /** Releases the claim of a call that certainly did not run, without waiting for the replicas' replies. */
    public void release(ClaimTicket ticket) {
        ClaimMap map = maps.current();
        if (!map.isEmpty()) {
            releaseAt(map.groupOf(ticket.key()), ticket);
        }
    }

    private Claim claimOf(ClaimRequest request, String holder) {
        long now = time.epochMillis();
        long runsUntil = now + request.deadline().remaining(time).toMillis() + RUN_MARGIN_MILLIS;
        return new Claim(
                request.key(),
                holder,
                request.fingerprint(),
                new ClaimState.Running(),
                runsUntil,
                now + request.retentionMillis());
    }

    private ClaimRound.Decision vote(ClaimGroup group, Claim claim, Deadline deadline) throws InterruptedException {
        if (group.replicas().isEmpty()) {
            return new ClaimRound.Decision.Unavailable();
        }
        Deadline voteDeadline = deadline.earlier(Deadline.after(time, VOTE_TIMEOUT));
        BlockingQueue<Vote> votes = new LinkedBlockingQueue<>();
        ClaimVoteRequest request = new ClaimVoteRequest(group.index(), group.epoch(), claim);
        for (String replica : group.replicas()) {
            replicas.send(replica, request, voteDeadline).handle((reply, failure) -> votes.add(voteOf(reply)));
        }
        ClaimRound round = new ClaimRound(group);
        while (true) {
            Optional<ClaimRound.Decision> decision = round.count(votes.take());
            if (decision.isPresent()) {
                return decision.get();
            }
        }
    }

    private static Vote voteOf(PeerReply reply) {
        return reply instanceof PeerReply.Voted voted ? voted.vote() : new Vote.NoReply();
    }

    private void releaseAt(ClaimGroup group, ClaimTicket ticket) {
        sendToAll(group, new ClaimReleaseRequest(group.index(), ticket.key(), ticket.holder()));
    }

    private void sendToAll(ClaimGroup group, PeerRequest request) {
        Deadline deadline = Deadline.after(time, SETTLE_TIMEOUT);
        for (String replica : group.replicas()) {
            replicas.send(replica, request, deadline);
        }
    }

    private void pause(Deadline deadline) throws InterruptedException {
        long pause = MIN_PAUSE_MILLIS + random.nextLong(PAUSE_JITTER_MILLIS);
        long remaining = deadline.remainingNanos(time.nanos()) / NANOS_PER_MILLI;
        Thread.sleep(Math.clamp(pause, 0, Math.max(0, remaining)));
    }
}
