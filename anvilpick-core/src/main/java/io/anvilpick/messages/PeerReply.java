package io.anvilpick.messages;

import com.google.common.collect.ImmutableMap;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.SealedGroup;
import io.anvilpick.claims.Vote;
import io.anvilpick.config.SignedHead;
import io.anvilpick.fleet.RelayedUpdate;
import io.anvilpick.membership.LeavingList;
import io.anvilpick.membership.MemberDigest;
import java.util.Optional;

/** What a daemon answers to a {@link PeerRequest}. */
public sealed interface PeerReply {
    /** The request was taken in and has no result. */
    record Acknowledged() implements PeerReply {}

    /** A replica's vote. */
    record Voted(Vote vote) implements PeerReply {}

    /** A replica's claims. */
    record Sealed(SealedGroup group) implements PeerReply {}

    /** Whether a replica keeps the claims handed to it. */
    record Installed(boolean accepted) implements PeerReply {}

    /**
     * What the answering daemon knows beyond the sender.
     *
     * @param head its head of the configuration, where its version is later
     * @param claimMap its claim map, where its version is later
     * @param leaving its list of leaving VMs, where it is later
     * @param configVersion version of the configuration in force there
     * @param claimMapVersion version of its claim map
     * @param members some of the members that it knows, itself first
     */
    record Gossip(
            Optional<SignedHead> head,
            Optional<ClaimMap> claimMap,
            Optional<LeavingList> leaving,
            long configVersion,
            long claimMapVersion,
            MemberDigest members)
            implements PeerReply {}

    /** Parts of the configuration by digest, as far as they were found. */
    record ConfigParts(ImmutableMap<String, String> texts) implements PeerReply {}

    /** What the answering daemon has read of the store beyond what the asking one knows. */
    record StoreUpdate(RelayedUpdate relayed) implements PeerReply {}

    /** The request could not be read or served. */
    record Rejected(String reason) implements PeerReply {}
}
