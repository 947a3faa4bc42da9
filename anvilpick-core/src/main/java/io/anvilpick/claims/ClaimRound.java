package io.anvilpick.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Counts the votes on one claim and says when it is decided. Not thread safe.
 *
 * <p>A claim is won with a majority of the group's replicas. Two calls cannot both win a key in one epoch, since any two
 * majorities share a replica and a replica grants a key once.
 */
public final class ClaimRound {
    private final int replicas;
    private final int majority;
    private final List<Claim> holders = new ArrayList<>();
    private int granted;
    private int counted;
    private long newerEpoch;

    /** How a round ended. */
    public sealed interface Decision {
        /** The call holds the key and may run. */
        record Won() implements Decision {}

        /** Another call holds the key; {@code holder} is the claim that says most about its end. */
        record Held(Claim holder) implements Decision {}

        /** Several calls claim the key at the same time and none of them can win; {@code holder} is one of them. */
        record Contended(Claim holder) implements Decision {}

        /** The group has moved on to {@code epoch}; the claim may be tried again there. */
        record Moved(long epoch) implements Decision {}

        /** Too few replicas answered. */
        record Unavailable() implements Decision {}
    }

    /** Creates a round among the replicas of {@code group}. */
    public ClaimRound(ClaimGroup group) {
        this.replicas = group.replicas().size();
        this.majority = group.majority();
    }

    /** Counts {@code vote}; returns the decision once there is one. */
    public Optional<Decision> count(Vote vote) {
        counted++;
        switch (vote) {
            case Vote.Granted ignored -> granted++;
            case Vote.Taken taken -> holders.add(taken.holder());
            case Vote.WrongEpoch wrong -> newerEpoch = Math.max(newerEpoch, wrong.epoch());
            case Vote.NoReply ignored -> {}
        }
        if (granted >= majority) {
            return Optional.of(new Decision.Won());
        }
        if (holders.size() >= majority || counted == replicas) {
            return Optional.of(lost());
        }
        return Optional.empty();
    }

    private Decision lost() {
        Claim best = bestHolder();
        if (best != null) {
            boolean certain = rank(best.state()) > 0 || grantsOf(best.holder()) >= majority;
            return certain ? new Decision.Held(best) : new Decision.Contended(best);
        }
        return newerEpoch > 0 ? new Decision.Moved(newerEpoch) : new Decision.Unavailable();
    }

    private int grantsOf(String holder) {
        int grants = 0;
        for (Claim each : holders) {
            grants += each.holder().equals(holder) ? 1 : 0;
        }
        return grants;
    }

    private @Nullable Claim bestHolder() {
        Claim best = null;
        for (Claim holder : holders) {
            if (best == null || knowsMore(holder, best)) {
                best = holder;
            }
        }
        return best;
    }

    private static boolean knowsMore(Claim claim, Claim other) {
        return rank(claim.state()) > rank(other.state());
    }

    /** Returns how much a state says: an answer says more than an end, an end more than none. */
    static int rank(ClaimState state) {
        return switch (state) {
            case ClaimState.Running ignored -> 0;
            case ClaimState.OutcomeUnknown ignored -> 1;
            case ClaimState.Done done -> done.answer().isPresent() ? 3 : 2;
        };
    }
}
