package io.anvilpick.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.anvilpick.claims.Claim;
import io.anvilpick.claims.ClaimGroup;
import io.anvilpick.claims.ClaimKey;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.ClaimState;
import io.anvilpick.claims.KeptAnswer;
import io.anvilpick.claims.SealedGroup;
import io.anvilpick.claims.Vote;
import io.anvilpick.config.SignedHead;
import io.anvilpick.crashes.CrashReport;
import io.anvilpick.membership.LeavingList;
import io.anvilpick.membership.Member;
import io.anvilpick.messages.AcquitRequest;
import io.anvilpick.messages.ClaimReleaseRequest;
import io.anvilpick.messages.ClaimSettleRequest;
import io.anvilpick.messages.ClaimVoteRequest;
import io.anvilpick.messages.CrashRequest;
import io.anvilpick.messages.GossipRequest;
import io.anvilpick.messages.InstallRequest;
import io.anvilpick.messages.PartsRequest;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.messages.SealRequest;
import io.anvilpick.peer.wire.PeerProto;
import java.util.List;
import java.util.Optional;

/** Turns requests and replies into protobuf messages and back. */
final class PeerCodec {
    private PeerCodec() {}

    static PeerProto.Envelope encode(long requestId, PeerRequest request) {
        PeerProto.Envelope.Builder envelope = PeerProto.Envelope.newBuilder().setRequestId(requestId);
        return switch (request) {
            case ClaimVoteRequest vote ->
                envelope.setClaimVote(PeerProto.ClaimVote.newBuilder()
                                .setGroup(vote.group())
                                .setEpoch(vote.epoch())
                                .setClaim(encode(vote.claim())))
                        .build();
            case ClaimSettleRequest settle ->
                envelope.setClaimSettle(PeerProto.ClaimSettle.newBuilder()
                                .setGroup(settle.group())
                                .setKey(encode(settle.key()))
                                .setHolder(settle.holder())
                                .setEnd(encode(settle.end())))
                        .build();
            case ClaimReleaseRequest release ->
                envelope.setClaimRelease(PeerProto.ClaimRelease.newBuilder()
                                .setGroup(release.group())
                                .setKey(encode(release.key()))
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
                                .addAllClaims(encodeClaims(install.claims())))
                        .build();
            case GossipRequest gossip ->
                envelope.setGossip(PeerProto.Gossip.newBuilder()
                                .setConfigVersion(gossip.configVersion())
                                .setClaimMapVersion(gossip.claimMapVersion())
                                .setLeavingAsOfMillis(gossip.leavingAsOfMillis())
                                .addAllMembers(encodeMembers(gossip.members())))
                        .build();
            case PartsRequest parts ->
                envelope.setParts(PeerProto.Parts.newBuilder().addAllDigests(parts.digests()))
                        .build();
            case CrashRequest crash ->
                envelope.setCrash(PeerProto.Crash.newBuilder()
                                .setFingerprint(crash.report().fingerprint())
                                .setTarget(crash.report().target())
                                .setAtMillis(crash.report().atMillis()))
                        .build();
            case AcquitRequest acquit ->
                envelope.setAcquit(PeerProto.Acquit.newBuilder().setFingerprint(acquit.fingerprint()))
                        .build();
        };
    }

    static PeerProto.Envelope encode(long requestId, PeerReply reply) {
        PeerProto.Envelope.Builder envelope = PeerProto.Envelope.newBuilder().setRequestId(requestId);
        return switch (reply) {
            case PeerReply.Done ignored ->
                envelope.setDone(PeerProto.Done.getDefaultInstance()).build();
            case PeerReply.Voted voted ->
                envelope.setVoted(encode(voted.vote())).build();
            case PeerReply.Sealed sealed ->
                envelope.setSealed(PeerProto.Sealed.newBuilder()
                                .setGroup(sealed.group().group())
                                .setEpoch(sealed.group().epoch())
                                .setHeld(sealed.group().held())
                                .addAllClaims(encodeClaims(sealed.group().claims())))
                        .build();
            case PeerReply.Installed installed ->
                envelope.setInstalled(PeerProto.Installed.newBuilder().setKept(installed.kept()))
                        .build();
            case PeerReply.Gossip gossip ->
                envelope.setGossipReply(encode(gossip)).build();
            case PeerReply.Parts parts -> envelope.setPartsReply(encode(parts)).build();
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
                                decode(envelope.getClaimVote().getClaim()));
                    case CLAIM_SETTLE ->
                        new ClaimSettleRequest(
                                envelope.getClaimSettle().getGroup(),
                                decode(envelope.getClaimSettle().getKey()),
                                envelope.getClaimSettle().getHolder(),
                                decode(envelope.getClaimSettle().getEnd()));
                    case CLAIM_RELEASE ->
                        new ClaimReleaseRequest(
                                envelope.getClaimRelease().getGroup(),
                                decode(envelope.getClaimRelease().getKey()),
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
                                decodeClaims(envelope.getInstall().getClaimsList()));
                    case GOSSIP ->
                        new GossipRequest(
                                envelope.getGossip().getConfigVersion(),
                                envelope.getGossip().getClaimMapVersion(),
                                envelope.getGossip().getLeavingAsOfMillis(),
                                decodeMembers(envelope.getGossip().getMembersList()));
                    case PARTS ->
                        new PartsRequest(ImmutableSet.copyOf(envelope.getParts().getDigestsList()));
                    case CRASH ->
                        new CrashRequest(new CrashReport(
                                envelope.getCrash().getFingerprint(),
                                envelope.getCrash().getTarget(),
                                envelope.getCrash().getAtMillis()));
                    case ACQUIT -> new AcquitRequest(envelope.getAcquit().getFingerprint());
                    case DONE, VOTED, SEALED, INSTALLED, GOSSIP_REPLY, PARTS_REPLY, REJECTED, BODY_NOT_SET -> null;
                };
        return Optional.ofNullable(request);
    }

    /** Returns the reply in {@code envelope}; empty if it holds none. */
    static Optional<PeerReply> decodeReply(PeerProto.Envelope envelope) {
        PeerReply reply =
                switch (envelope.getBodyCase()) {
                    case DONE -> new PeerReply.Done();
                    case VOTED -> new PeerReply.Voted(decode(envelope.getVoted()));
                    case SEALED ->
                        new PeerReply.Sealed(new SealedGroup(
                                envelope.getSealed().getGroup(),
                                envelope.getSealed().getEpoch(),
                                envelope.getSealed().getHeld(),
                                decodeClaims(envelope.getSealed().getClaimsList())));
                    case INSTALLED ->
                        new PeerReply.Installed(envelope.getInstalled().getKept());
                    case GOSSIP_REPLY -> decode(envelope.getGossipReply());
                    case PARTS_REPLY -> decode(envelope.getPartsReply());
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
                            BODY_NOT_SET -> null;
                };
        return Optional.ofNullable(reply);
    }

    private static PeerProto.ClaimKey encode(ClaimKey key) {
        return PeerProto.ClaimKey.newBuilder()
                .setService(key.service())
                .setTenant(key.tenant())
                .setKey(key.key())
                .build();
    }

    private static ClaimKey decode(PeerProto.ClaimKey key) {
        return new ClaimKey(key.getService(), key.getTenant(), key.getKey());
    }

    private static PeerProto.ClaimState encode(ClaimState state) {
        PeerProto.ClaimState.Builder builder = PeerProto.ClaimState.newBuilder();
        return switch (state) {
            case ClaimState.Running ignored ->
                builder.setKind(PeerProto.ClaimState.Kind.RUNNING).build();
            case ClaimState.Unsettled ignored ->
                builder.setKind(PeerProto.ClaimState.Kind.UNSETTLED).build();
            case ClaimState.Done done -> {
                builder.setKind(PeerProto.ClaimState.Kind.DONE);
                done.answer().ifPresent(answer -> builder.setAnswer(encode(answer)));
                yield builder.build();
            }
        };
    }

    private static ClaimState decode(PeerProto.ClaimState state) {
        return switch (state.getKind()) {
            case RUNNING -> new ClaimState.Running();
            case DONE ->
                new ClaimState.Done(state.hasAnswer() ? Optional.of(decode(state.getAnswer())) : Optional.empty());
            case UNSETTLED, UNRECOGNIZED -> new ClaimState.Unsettled();
        };
    }

    private static PeerProto.KeptAnswer encode(KeptAnswer answer) {
        return PeerProto.KeptAnswer.newBuilder()
                .setStatus(answer.status())
                .setContentType(answer.contentType())
                .setBody(ByteString.copyFrom(answer.body()))
                .build();
    }

    private static KeptAnswer decode(PeerProto.KeptAnswer answer) {
        return new KeptAnswer(
                answer.getStatus(), answer.getContentType(), answer.getBody().toByteArray());
    }

    private static PeerProto.Claim encode(Claim claim) {
        return PeerProto.Claim.newBuilder()
                .setKey(encode(claim.key()))
                .setHolder(claim.holder())
                .setFingerprint(claim.fingerprint())
                .setState(encode(claim.state()))
                .setRunsUntilMillis(claim.runsUntilMillis())
                .setForgetAtMillis(claim.forgetAtMillis())
                .build();
    }

    private static Claim decode(PeerProto.Claim claim) {
        return new Claim(
                decode(claim.getKey()),
                claim.getHolder(),
                claim.getFingerprint(),
                decode(claim.getState()),
                claim.getRunsUntilMillis(),
                claim.getForgetAtMillis());
    }

    private static List<PeerProto.Claim> encodeClaims(List<Claim> claims) {
        return claims.stream().map(PeerCodec::encode).toList();
    }

    private static ImmutableList<Claim> decodeClaims(List<PeerProto.Claim> claims) {
        return claims.stream().map(PeerCodec::decode).collect(ImmutableList.toImmutableList());
    }

    private static PeerProto.Voted encode(Vote vote) {
        PeerProto.Voted.Builder builder = PeerProto.Voted.newBuilder();
        return switch (vote) {
            case Vote.Granted ignored ->
                builder.setKind(PeerProto.Voted.Kind.GRANTED).build();
            case Vote.Taken taken ->
                builder.setKind(PeerProto.Voted.Kind.TAKEN)
                        .setHolder(encode(taken.holder()))
                        .build();
            case Vote.WrongEpoch wrong ->
                builder.setKind(PeerProto.Voted.Kind.WRONG_EPOCH)
                        .setEpoch(wrong.epoch())
                        .build();
            case Vote.Silent ignored -> throw new IllegalArgumentException("a silent replica sends no vote");
        };
    }

    private static Vote decode(PeerProto.Voted voted) {
        return switch (voted.getKind()) {
            case GRANTED -> new Vote.Granted();
            case TAKEN -> new Vote.Taken(decode(voted.getHolder()));
            case WRONG_EPOCH -> new Vote.WrongEpoch(voted.getEpoch());
            case UNRECOGNIZED -> new Vote.Silent();
        };
    }

    private static List<PeerProto.Member> encodeMembers(List<Member> members) {
        return members.stream().map(PeerCodec::encode).toList();
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

    private static ImmutableList<Member> decodeMembers(List<PeerProto.Member> members) {
        ImmutableList.Builder<Member> decoded = ImmutableList.builder();
        for (PeerProto.Member member : members) {
            decoded.add(new Member(
                    member.getInstance(),
                    member.getCallAddress(),
                    member.getPeerAddress(),
                    member.getRegion(),
                    member.getZone(),
                    member.getLeaving(),
                    member.getBeat()));
        }
        return decoded.build();
    }

    private static PeerProto.GossipReply encode(PeerReply.Gossip gossip) {
        PeerProto.GossipReply.Builder builder = PeerProto.GossipReply.newBuilder()
                .setConfigVersion(gossip.configVersion())
                .setClaimMapVersion(gossip.claimMapVersion())
                .addAllMembers(encodeMembers(gossip.members()));
        gossip.head()
                .ifPresent(signed -> builder.setHead(
                        PeerProto.SignedHead.newBuilder().setHead(signed.head()).setSignature(signed.signature())));
        gossip.claimMap().ifPresent(map -> builder.setClaimMap(encode(map)));
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
        Optional<ClaimMap> map = reply.hasClaimMap() ? Optional.of(decode(reply.getClaimMap())) : Optional.empty();
        Optional<LeavingList> leaving = reply.hasLeaving()
                ? Optional.of(new LeavingList(
                        reply.getLeaving().getAsOfMillis(),
                        ImmutableSet.copyOf(reply.getLeaving().getAddressesList())))
                : Optional.empty();
        return new PeerReply.Gossip(
                head,
                map,
                leaving,
                reply.getConfigVersion(),
                reply.getClaimMapVersion(),
                decodeMembers(reply.getMembersList()));
    }

    private static PeerProto.ClaimMap encode(ClaimMap map) {
        PeerProto.ClaimMap.Builder builder = PeerProto.ClaimMap.newBuilder().setVersion(map.version());
        for (ClaimGroup group : map.groups()) {
            builder.addGroups(PeerProto.ClaimGroup.newBuilder()
                    .setIndex(group.index())
                    .setEpoch(group.epoch())
                    .setChangeId(group.changeId())
                    .setTrustedFromMillis(group.trustedFromMillis())
                    .addAllReplicas(group.replicas()));
        }
        return builder.build();
    }

    private static ClaimMap decode(PeerProto.ClaimMap map) {
        ImmutableList.Builder<ClaimGroup> groups = ImmutableList.builder();
        for (PeerProto.ClaimGroup group : map.getGroupsList()) {
            groups.add(new ClaimGroup(
                    group.getIndex(),
                    group.getEpoch(),
                    group.getChangeId(),
                    group.getTrustedFromMillis(),
                    ImmutableList.copyOf(group.getReplicasList())));
        }
        return new ClaimMap(map.getVersion(), groups.build());
    }

    private static PeerProto.PartsReply encode(PeerReply.Parts parts) {
        PeerProto.PartsReply.Builder builder = PeerProto.PartsReply.newBuilder();
        parts.texts()
                .forEach((digest, text) -> builder.addParts(
                        PeerProto.Part.newBuilder().setDigest(digest).setText(text)));
        return builder.build();
    }

    private static PeerReply.Parts decode(PeerProto.PartsReply reply) {
        ImmutableMap.Builder<String, String> texts = ImmutableMap.builder();
        for (PeerProto.Part part : reply.getPartsList()) {
            texts.put(part.getDigest(), part.getText());
        }
        return new PeerReply.Parts(texts.buildKeepingLast());
    }
}
