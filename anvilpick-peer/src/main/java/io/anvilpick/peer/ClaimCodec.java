package io.anvilpick.peer;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.anvilpick.claims.Claim;
import io.anvilpick.claims.ClaimGroup;
import io.anvilpick.claims.ClaimKey;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.ClaimState;
import io.anvilpick.claims.StoredAnswer;
import io.anvilpick.claims.Vote;
import io.anvilpick.peer.wire.PeerProto;
import java.util.List;
import java.util.Optional;

/** Converts claims, votes and claim maps to and from protobuf messages. */
final class ClaimCodec {
    private ClaimCodec() {}

    static PeerProto.ClaimKey encode(ClaimKey key) {
        return PeerProto.ClaimKey.newBuilder()
                .setService(key.service())
                .setTenant(key.tenant())
                .setKey(key.key())
                .build();
    }

    static ClaimKey decode(PeerProto.ClaimKey key) {
        return new ClaimKey(key.getService(), key.getTenant(), key.getKey());
    }

    static PeerProto.ClaimState encode(ClaimState state) {
        PeerProto.ClaimState.Builder builder = PeerProto.ClaimState.newBuilder();
        return switch (state) {
            case ClaimState.Running ignored ->
                builder.setKind(PeerProto.ClaimState.Kind.RUNNING).build();
            case ClaimState.OutcomeUnknown ignored ->
                builder.setKind(PeerProto.ClaimState.Kind.UNSETTLED).build();
            case ClaimState.Done done -> {
                builder.setKind(PeerProto.ClaimState.Kind.DONE);
                done.answer().ifPresent(answer -> builder.setAnswer(encode(answer)));
                yield builder.build();
            }
        };
    }

    static ClaimState decode(PeerProto.ClaimState state) {
        return switch (state.getKind()) {
            case RUNNING -> new ClaimState.Running();
            case DONE ->
                new ClaimState.Done(state.hasAnswer() ? Optional.of(decode(state.getAnswer())) : Optional.empty());
            case UNSETTLED, UNRECOGNIZED -> new ClaimState.OutcomeUnknown();
        };
    }

    static PeerProto.KeptAnswer encode(StoredAnswer answer) {
        return PeerProto.KeptAnswer.newBuilder()
                .setStatus(answer.status())
                .setContentType(answer.contentType())
                .setBody(ByteString.copyFrom(answer.body()))
                .build();
    }

    static StoredAnswer decode(PeerProto.KeptAnswer answer) {
        return new StoredAnswer(
                answer.getStatus(), answer.getContentType(), answer.getBody().toByteArray());
    }

    static PeerProto.Claim encode(Claim claim) {
        return PeerProto.Claim.newBuilder()
                .setKey(encode(claim.key()))
                .setHolder(claim.holder())
                .setFingerprint(claim.fingerprint())
                .setState(encode(claim.state()))
                .setRunsUntilMillis(claim.runsUntilMillis())
                .setForgetAtMillis(claim.expiresAtMillis())
                .build();
    }

    static Claim decode(PeerProto.Claim claim) {
        return new Claim(
                decode(claim.getKey()),
                claim.getHolder(),
                claim.getFingerprint(),
                decode(claim.getState()),
                claim.getRunsUntilMillis(),
                claim.getForgetAtMillis());
    }

    static List<PeerProto.Claim> encodeClaims(List<Claim> claims) {
        return claims.stream().map(ClaimCodec::encode).toList();
    }

    static ImmutableList<Claim> decodeClaims(List<PeerProto.Claim> claims) {
        return claims.stream().map(ClaimCodec::decode).collect(ImmutableList.toImmutableList());
    }

    static PeerProto.Voted encode(Vote vote) {
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
            case Vote.NoReply ignored -> throw new IllegalArgumentException("vote: a missing reply has no encoding");
        };
    }

    static Vote decode(PeerProto.Voted voted) {
        return switch (voted.getKind()) {
            case GRANTED -> new Vote.Granted();
            case TAKEN -> new Vote.Taken(decode(voted.getHolder()));
            case WRONG_EPOCH -> new Vote.WrongEpoch(voted.getEpoch());
            case UNRECOGNIZED -> new Vote.NoReply();
        };
    }

    static PeerProto.ClaimMap encode(ClaimMap map) {
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

    static ClaimMap decode(PeerProto.ClaimMap map) {
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
}
