package io.anvilpick.claims;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;

/** The union of the claims held by the sealed replicas of a group. Not thread safe. */
public final class ClaimUnion {
    private final Map<ClaimKey, Claim> claims = new HashMap<>();
    private int sealedReplicas;

    /** Adds the claims of one replica. A replica that did not participate in the epoch is ignored. */
    public void add(SealedGroup sealed) {
        if (!sealed.participated()) {
            return;
        }
        sealedReplicas++;
        for (Claim claim : sealed.claims()) {
            claims.merge(
                    claim.key(),
                    claim,
                    (present, added) ->
                            ClaimRound.rank(added.state()) > ClaimRound.rank(present.state()) ? added : present);
        }
    }

    /** Returns the number of added replicas that participated in the epoch. */
    public int sealedReplicas() {
        return sealedReplicas;
    }

    /** Returns the claim with the most informative state for each key on which any added replica holds a claim. */
    public ImmutableList<Claim> claims() {
        return ImmutableList.copyOf(claims.values());
    }
}
