package io.anvilpick.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.SealedGroup;
import io.anvilpick.config.SignedHead;
import io.anvilpick.crashes.CrashReport;
import io.anvilpick.membership.LeavingList;
import io.anvilpick.membership.Member;
import io.anvilpick.membership.MemberDigest;
import io.anvilpick.membership.MemberHeartbeat;
import io.anvilpick.messages.AllowanceRequest;
import io.anvilpick.messages.ClaimReleaseRequest;
import io.anvilpick.messages.ClaimSettleRequest;
import io.anvilpick.messages.ClaimVoteRequest;
import io.anvilpick.messages.ConfigPartsRequest;
import io.anvilpick.messages.CrashClearedRequest;
import io.anvilpick.messages.CrashReportRequest;
import io.anvilpick.messages.GossipRequest;
import io.anvilpick.messages.InstallRequest;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.messages.SealRequest;
import io.anvilpick.messages.StoreUpdateRequest;
import io.anvilpick.peer.wire.PeerProto;
import java.time.Duration;
import java.util.Optional;

/** Converts requests and replies to and from protobuf messages. */
final class PeerCodec {
    private PeerCodec() {}

    static PeerProto.Envelope encode(long requestId, PeerRequest request) {
        PeerProto.Envelope.Builder envelope = PeerProto.Envelope.newBuilder().setRequestId(requestId);
        return switch (request) {
            case ClaimVoteRequest vote ->
                envelope.setClaimVote(PeerProto.ClaimVote.newBuilder()
                                .setGroup(vote.group())
                                .setEpoch(vote.epoch())
                                .setClaim(ClaimCodec.encode(vote.claim())))
                        .build();
            case ClaimSettleRequest settle ->
                envelope.setClaimSettle(PeerProto.ClaimSettle.newBuilder()
                                .setGroup(settle.group())
                                .setKey(ClaimCodec.encode(settle.key()))
                                .setHolder(settle.holder())
                                .setEnd(ClaimCodec.encode(settle.finalState())))
                        .build();
            case ClaimReleaseRequest release ->
                envelope.setClaimRelease(PeerProto.ClaimRelease.newBuilder()
                                .setGroup(release.group())
                                .setKey(ClaimCodec.encode(release.key()))
                                .setHolder(release.holder()))
                        .build();
            case SealRequest seal ->
                envelope.setSeal(PeerProto.Seal.newBuilder()
                                .setGroup(seal.group())
                                .setEpoch(seal.epoch()))
                        .build();
            case InstallRequest install ->
                envelope.setInstall(PeerProto.Install.newBuilder()
                                .setGroup(install.group())
                                .setEpoch(install.epoch())
                                .setChangeId(install.changeId())
                                .addAllClaims(ClaimCodec.encodeClaims(install.claims())))
                        .build();
            case GossipRequest gossip ->
                envelope.setGossip(PeerProto.Gossip.newBuilder()
                                .setConfigVersion(gossip.configVersion())
                                .setClaimMapVersion(gossip.claimMapVersion())
                                .setLeavingAsOfMillis(gossip.leavingAsOfMillis())
                                .setMembers(encode(gossip.members())))
                        .build();
            case ConfigPartsRequest parts ->
                envelope.setParts(PeerProto.Parts.newBuilder().addAllDigests(parts.digests()))
                        .build();
            case CrashReportRequest crash ->
                envelope.setCrash(PeerProto.Crash.newBuilder()
                                .setFingerprint(crash.report().fingerprint())
                                .setTarget(crash.report().target())
                                .setAtMillis(crash.report().atMillis()))
                        .build();
            case StoreUpdateRequest follow ->
                envelope.setFollow(StoreUpdateCodec.encode(follow)).build();
            case AllowanceRequest allowance ->
                envelope.setAllowance(PeerProto.Allowance.newBuilder()
                                .setTenant(allowance.tenant())
                                .setWanted(allowance.wanted()))
                        .build();
            case CrashClearedRequest acquit ->
                envelope.setAcquit(PeerProto.Acquit.newBuilder().setFingerprint(acquit.fingerprint()))
                        .build();
        };
    }

    static PeerProto.Envelope encode(long requestId, PeerReply reply) {
        PeerProto.Envelope.Builder envelope = PeerProto.Envelope.newBuilder().setRequestId(requestId);
        return switch (reply) {
            case PeerReply.Acknowledged ignored ->
                envelope.setDone(PeerProto.Done.getDefaultInstance()).build();
            case PeerReply.Voted voted ->
                envelope.setVoted(ClaimCodec.encode(voted.vote())).build();
            case PeerReply.Sealed sealed ->
                envelope.setSealed(PeerProto.Sealed.newBuilder()
                                .setGroup(sealed.group().group())
                                .setEpoch(sealed.group().epoch())
                                .setHeld(sealed.group().participated())
                                .addAllClaims(
                                        ClaimCodec.encodeClaims(sealed.group().claims())))
                        .build();
            case PeerReply.Installed installed ->
                envelope.setInstalled(PeerProto.Installed.newBuilder().setKept(installed.accepted()))
                        .build();
            case PeerReply.Gossip gossip ->
                envelope.setGossipReply(encode(gossip)).build();
            case PeerReply.ConfigParts parts ->
                envelope.setPartsReply(encode(parts)).build();
            case PeerReply.StoreUpdate followed ->
                envelope.setFollowed(StoreUpdateCodec.encode(followed.relayed()))
                        .build();
            case PeerReply.AllowanceGrant grant ->
                envelope.setAllowanceGrant(PeerProto.AllowanceGrant.newBuilder()
                                .setGranted(grant.granted())
                                .setRetryAfterMillis(grant.retryAfter().toMillis()))
                        .build();
            case PeerReply.NotGrantor refusal ->
                envelope.setNotGrantor(PeerProto.NotGrantor.newBuilder()
                                .setSettlesAfterMillis(refusal.settlesAfter().toMillis()))
                        .build();
            case PeerReply.Rejected rejected ->
                envelope.setRejected(PeerProto.Rejected.newBuilder().setReason(rejected.reason()))
                        .build();
        };
    }

    /** Returns the request in {@code envelope}; empty if it holds none. */
    static Optional<PeerRequest> decodeRequest(PeerProto.Envelope envelope) {
        PeerRequest request =
                switch (envelope.getBodyCase()) {
                    case CLAIM_VOTE ->
                        new ClaimVoteRequest(
                                envelope.getClaimVote().getGroup(),
                                envelope.getClaimVote().getEpoch(),
                                ClaimCodec.decode(envelope.getClaimVote().getClaim()));
                    case CLAIM_SETTLE ->
                        new ClaimSettleRequest(
                                envelope.getClaimSettle().getGroup(),
                                ClaimCodec.decode(envelope.getClaimSettle().getKey()),
                                envelope.getClaimSettle().getHolder(),
                                ClaimCodec.decode(envelope.getClaimSettle().getEnd()));
                    case CLAIM_RELEASE ->
                        new ClaimReleaseRequest(
                                envelope.getClaimRelease().getGroup(),
                                ClaimCodec.decode(envelope.getClaimRelease().getKey()),
                                envelope.getClaimRelease().getHolder());
                    case SEAL ->
                        new SealRequest(
                                envelope.getSeal().getGroup(),
                                envelope.getSeal().getEpoch());
                    case INSTALL ->
                        new InstallRequest(
                                envelope.getInstall().getGroup(),
                                envelope.getInstall().getEpoch(),
                                envelope.getInstall().getChangeId(),
                                ClaimCodec.decodeClaims(envelope.getInstall().getClaimsList()));
                    case GOSSIP ->
                        new GossipRequest(
                                envelope.getGossip().getConfigVersion(),
                                envelope.getGossip().getClaimMapVersion(),
                                envelope.getGossip().getLeavingAsOfMillis(),
                                decode(envelope.getGossip().getMembers()));
                    case PARTS ->
                        new ConfigPartsRequest(
                                ImmutableSet.copyOf(envelope.getParts().getDigestsList()));
                    case CRASH ->
                        new CrashReportRequest(new CrashReport(
                                envelope.getCrash().getFingerprint(),
                                envelope.getCrash().getTarget(),
                                envelope.getCrash().getAtMillis()));
                    case ACQUIT -> new CrashClearedRequest(envelope.getAcquit().getFingerprint());
                    case FOLLOW -> StoreUpdateCodec.decode(envelope.getFollow());
                    case ALLOWANCE ->
                        new AllowanceRequest(
                                envelope.getAllowance().getTenant(),
                                envelope.getAllowance().getWanted());
                    case DONE,
                            VOTED,
                            SEALED,
                            INSTALLED,
                            GOSSIP_REPLY,
                            PARTS_REPLY,
                            REJECTED,
                            FOLLOWED,
                            ALLOWANCE_GRANT,
                            NOT_GRANTOR,
                            BODY_NOT_SET -> null;
                };
        return Optional.ofNullable(request);
    }

    /** Returns the reply in {@code envelope}; empty if it holds none. */
    static Optional<PeerReply> decodeReply(PeerProto.Envelope envelope) {
        PeerReply reply =
                switch (envelope.getBodyCase()) {
                    case DONE -> new PeerReply.Acknowledged();
                    case VOTED -> new PeerReply.Voted(ClaimCodec.decode(envelope.getVoted()));
                    case SEALED ->
                        new PeerReply.Sealed(new SealedGroup(
                                envelope.getSealed().getGroup(),
                                envelope.getSealed().getEpoch(),
                                envelope.getSealed().getHeld(),
                                ClaimCodec.decodeClaims(envelope.getSealed().getClaimsList())));
                    case INSTALLED ->
                        new PeerReply.Installed(envelope.getInstalled().getKept());
                    case GOSSIP_REPLY -> decode(envelope.getGossipReply());
                    case PARTS_REPLY -> decode(envelope.getPartsReply());
                    case FOLLOWED -> new PeerReply.StoreUpdate(StoreUpdateCodec.decode(envelope.getFollowed()));
                    case ALLOWANCE_GRANT ->
                        new PeerReply.AllowanceGrant(
                                envelope.getAllowanceGrant().getGranted(),
                                Duration.ofMillis(envelope.getAllowanceGrant().getRetryAfterMillis()));
                    case NOT_GRANTOR ->
                        new PeerReply.NotGrantor(
                                Duration.ofMillis(envelope.getNotGrantor().getSettlesAfterMillis()));
                    case REJECTED ->
                        new PeerReply.Rejected(envelope.getRejected().getReason());
                    case CLAIM_VOTE,
                            CLAIM_SETTLE,
                            CLAIM_RELEASE,
                            SEAL,
                            INSTALL,
                            GOSSIP,
                            PARTS,
                            CRASH,
                            ACQUIT,
                            FOLLOW,
                            ALLOWANCE,
                            BODY_NOT_SET -> null;
                };
        return Optional.ofNullable(reply);
    }

    private static PeerProto.MemberDigest encode(MemberDigest digest) {
        PeerProto.MemberDigest.Builder builder = PeerProto.MemberDigest.newBuilder();
        digest.members().forEach(member -> builder.addMembers(encode(member)));
        digest.heartbeats()
                .forEach(heartbeat -> builder.addBeats(PeerProto.MemberBeat.newBuilder()
                        .setInstance(heartbeat.instance())
                        .setBeat(heartbeat.beat())));
        return builder.build();
    }

    private static PeerProto.Member encode(Member member) {
        return PeerProto.Member.newBuilder()
                .setInstance(member.instance())
                .setCallAddress(member.callAddress())
                .setPeerAddress(member.peerAddress())
                .setRegion(member.region())
                .setZone(member.zone())
                .setLeaving(member.leaving())
                .setBeat(member.beat())
                .build();
    }

    private static MemberDigest decode(PeerProto.MemberDigest digest) {
        ImmutableList.Builder<Member> members = ImmutableList.builder();
        digest.getMembersList().forEach(member -> members.add(decode(member)));
        ImmutableList.Builder<MemberHeartbeat> beats = ImmutableList.builder();
        digest.getBeatsList()
                .forEach(heartbeat -> beats.add(new MemberHeartbeat(heartbeat.getInstance(), heartbeat.getBeat())));
        return new MemberDigest(members.build(), beats.build());
    }

    private static Member decode(PeerProto.Member member) {
        return new Member(
                member.getInstance(),
                member.getCallAddress(),
                member.getPeerAddress(),
                member.getRegion(),
                member.getZone(),
                member.getLeaving(),
                member.getBeat());
    }

    private static PeerProto.GossipReply encode(PeerReply.Gossip gossip) {
        PeerProto.GossipReply.Builder builder = PeerProto.GossipReply.newBuilder()
                .setConfigVersion(gossip.configVersion())
                .setClaimMapVersion(gossip.claimMapVersion())
                .setMembers(encode(gossip.members()));
        gossip.head()
                .ifPresent(signed -> builder.setHead(
                        PeerProto.SignedHead.newBuilder().setHead(signed.head()).setSignature(signed.signature())));
        gossip.claimMap().ifPresent(map -> builder.setClaimMap(ClaimCodec.encode(map)));
        gossip.leaving()
                .ifPresent(leaving -> builder.setLeaving(PeerProto.LeavingList.newBuilder()
                        .setAsOfMillis(leaving.asOfMillis())
                        .addAllAddresses(leaving.addresses())));
        return builder.build();
    }

    private static PeerReply.Gossip decode(PeerProto.GossipReply reply) {
        Optional<SignedHead> head = reply.hasHead()
                ? Optional.of(new SignedHead(
                        reply.getHead().getHead(), reply.getHead().getSignature()))
                : Optional.empty();
        Optional<ClaimMap> map =
                reply.hasClaimMap() ? Optional.of(ClaimCodec.decode(reply.getClaimMap())) : Optional.empty();
        Optional<LeavingList> leaving = reply.hasLeaving()
                ? Optional.of(new LeavingList(
                        reply.getLeaving().getAsOfMillis(),
                        ImmutableSet.copyOf(reply.getLeaving().getAddressesList())))
                : Optional.empty();
        return new PeerReply.Gossip(
                head, map, leaving, reply.getConfigVersion(), reply.getClaimMapVersion(), decode(reply.getMembers()));
    }

    private static PeerProto.PartsReply encode(PeerReply.ConfigParts parts) {
        PeerProto.PartsReply.Builder builder = PeerProto.PartsReply.newBuilder();
        parts.texts()
                .forEach((digest, text) -> builder.addParts(
                        PeerProto.Part.newBuilder().setDigest(digest).setText(text)));
        return builder.build();
    }

    private static PeerReply.ConfigParts decode(PeerProto.PartsReply reply) {
        ImmutableMap.Builder<String, String> texts = ImmutableMap.builder();
        for (PeerProto.Part part : reply.getPartsList()) {
            texts.put(part.getDigest(), part.getText());
        }
        return new PeerReply.ConfigParts(texts.buildKeepingLast());
    }
}
