package io.anvilpick.messages;

import com.google.common.collect.ImmutableMap;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.SealedGroup;
import io.anvilpick.claims.Vote;
import io.anvilpick.config.SignedHead;
import io.anvilpick.fleet.RelayedUpdate;
import io.anvilpick.membership.LeavingList;
import io.anvilpick.membership.MemberDigest;
import java.time.Duration;
import java.util.Optional;

/** A reply to a {@link PeerRequest}. */
public sealed interface PeerReply {
    /** The request was processed and has no result. */
    record Acknowledged() implements PeerReply {}

    /** A replica's vote. */
    record Voted(Vote vote) implements PeerReply {}

    /** A replica's claims in a sealed epoch. */
    record Sealed(SealedGroup group) implements PeerReply {}

    /** Whether a replica stored the claims of an {@link InstallRequest}. */
    record Installed(boolean accepted) implements PeerReply {}

    /**
     * The state of the replying daemon, and the items that are newer than those of the requesting daemon.
     *
     * @param head head of the configuration, if its version is later
     * @param claimMap claim map, if its version is later
     * @param leaving list of leaving VMs, if it is later
     * @param configVersion version of the configuration in force at the replying daemon
     * @param claimMapVersion version of the replying daemon's claim map
     * @param members some of the members in the replying daemon's table, the replying daemon first
     */
    record Gossip(
            Optional<SignedHead> head,
            Optional<ClaimMap> claimMap,
            Optional<LeavingList> leaving,
            long configVersion,
            long claimMapVersion,
            MemberDigest members)
            implements PeerReply {}

    /** The requested parts of the configuration that were found, by digest. */
    record ConfigParts(ImmutableMap<String, String> texts) implements PeerReply {}

    /** The changes that the replying daemon has read from the store after the requested revision, or all items. */
    record StoreUpdate(RelayedUpdate relayed) implements PeerReply {}

    /**
     * The tokens granted for an {@link AllowanceRequest}.
     *
     * @param granted number of tokens, which may be zero
     * @param retryAfter time after which the grantor expects to have a token again
     */
    record AllowanceGrant(int granted, Duration retryAfter) implements PeerReply {}

    /**
     * The replying daemon does not grant tokens of the tenant of an {@link AllowanceRequest}.
     *
     * @param settlesAfter time after which it may grant tokens; zero if it may grant those of other tenants now
     */
    record NotGrantor(Duration settlesAfter) implements PeerReply {}

    /** The request could not be decoded or served. */
    record Rejected(String reason) implements PeerReply {}
}
