package io.anvilpick.claims;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;

/** All claims found at the sealed replicas of a group. Not thread safe. */
public final class ClaimUnion {
    private final Map<ClaimKey, Claim> claims = new HashMap<>();
    private int sealedReplicas;

    /** Adds what one replica held; a replica that did not stand in the epoch adds nothing. */
    public void add(SealedGroup sealed) {
        if (!sealed.participated()) {
            return;
        }
        sealedReplicas++;
        for (Claim claim : sealed.claims()) {
            claims.merge(
                    claim.key(),
                    claim,
                    (known, other) -> ClaimRound.rank(other.state()) > ClaimRound.rank(known.state()) ? other : known);
        }
    }

    /** Returns the number of replicas whose word counts. */
    public int sealedReplicas() {
        return sealedReplicas;
    }

    /** Returns one claim for each key that any replica held. */
    public ImmutableList<Claim> claims() {
        return ImmutableList.copyOf(claims.values());
    }
}
