package io.anvilpick.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A voting round on one claim: counts the votes of replicas until they decide the claim. Not thread safe.
 *
 * <p>A claim is won by the votes of a majority of the group's replicas. Two calls cannot both win a key in one epoch,
 * because any two majorities share a replica and a replica grants a key to one call only.
 */
public final class ClaimRound {
    private final int replicas;
    private final int majority;
    private final List<Claim> holders = new ArrayList<>();
    private int granted;
    private int counted;
    private long latestEpoch;

    /** The result of a round. */
    public sealed interface Decision {
        /** The call holds the key and may run. */
        record Won() implements Decision {}

        /** Another call holds the key. {@code holder} is its claim, in the most informative state that was found. */
        record Held(Claim holder) implements Decision {}

        /**
         * Other calls claim the key, and the received votes do not show whether one of them has won. {@code holder} is
         * one of their claims.
         *
         * <p>Either no call can win because several claim the key at the same time, or too many replicas did not reply.
         */
        record Contended(Claim holder) implements Decision {}

        /**
         * At least one replica does not vote in the epoch of the claim: the claim map of the replica or of the call is
         * outdated, or the replica is sealed or inactive. The claim can be retried.
         *
         * @param latestEpoch the latest epoch of these replicas
         */
        record WrongEpoch(long latestEpoch) implements Decision {}

        /** Too few replicas granted the claim. No reply contains another call's claim or the epoch of a claim map. */
        record Unavailable() implements Decision {}
    }

    /** Creates a round among the replicas of {@code group}. */
    public ClaimRound(ClaimGroup group) {
        this.replicas = group.replicas().size();
        this.majority = group.majority();
    }

    /** Counts {@code vote}. Returns the decision, or empty while further votes are required. */
    public Optional<Decision> count(Vote vote) {
        counted++;
        switch (vote) {
            case Vote.Granted ignored -> granted++;
            case Vote.Taken taken -> holders.add(taken.holder());
            case Vote.WrongEpoch wrong -> latestEpoch = Math.max(latestEpoch, wrong.epoch());
            case Vote.NoReply ignored -> {}
        }
        if (granted >= majority) {
            return Optional.of(new Decision.Won());
        }
        if (holders.size() >= majority || counted == replicas) {
            return Optional.of(failure());
        }
        return Optional.empty();
    }

    private Decision failure() {
        Claim best = mostInformativeHolder();
        if (best != null) {
            boolean certain = rank(best.state()) > 0 || grantsOf(best.holder()) >= majority;
            return certain ? new Decision.Held(best) : new Decision.Contended(best);
        }
        return latestEpoch > 0 ? new Decision.WrongEpoch(latestEpoch) : new Decision.Unavailable();
    }

    private int grantsOf(String holder) {
        int grants = 0;
        for (Claim each : holders) {
            grants += each.holder().equals(holder) ? 1 : 0;
        }
        return grants;
    }

    private @Nullable Claim mostInformativeHolder() {
        Claim best = null;
        for (Claim holder : holders) {
            if (best == null || isMoreInformative(holder, best)) {
                best = holder;
            }
        }
        return best;
    }

    private static boolean isMoreInformative(Claim claim, Claim other) {
        return rank(claim.state()) > rank(other.state());
    }

    /**
     * Returns a rank that is higher for a more informative state.
     *
     * <p>A stored answer ranks above a completed call without one, that above an unknown outcome, and a running call
     * ranks lowest.
     */
    static int rank(ClaimState state) {
        return switch (state) {
            case ClaimState.Running ignored -> 0;
            case ClaimState.OutcomeUnknown ignored -> 1;
            case ClaimState.Done done -> done.answer().isPresent() ? 3 : 2;
        };
    }
}
