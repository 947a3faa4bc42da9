package io.anvilpick.daemon.control;

import com.google.common.collect.ImmutableMap;
import io.anvilpick.calls.CrashGuard;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.ClaimTable;
import io.anvilpick.config.SignedHead;
import io.anvilpick.config.Snapshot;
import io.anvilpick.membership.LeavingList;
import io.anvilpick.membership.Member;
import io.anvilpick.membership.MemberDigest;
import io.anvilpick.messages.AllowanceRequest;
import io.anvilpick.messages.ClaimReleaseRequest;
import io.anvilpick.messages.ClaimSettleRequest;
import io.anvilpick.messages.ClaimVoteRequest;
import io.anvilpick.messages.ConfigPartsRequest;
import io.anvilpick.messages.CrashClearedRequest;
import io.anvilpick.messages.CrashReportRequest;
import io.anvilpick.messages.GossipRequest;
import io.anvilpick.messages.InstallRequest;
import io.anvilpick.messages.PeerHandler;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.messages.SealRequest;
import io.anvilpick.messages.StoreUpdateRequest;
import java.util.Optional;
import java.util.function.Consumer;

/** Handles requests from other daemons, and those that this daemon sends to itself. Thread safe; never blocks. */
public final class PeerService implements PeerHandler {
    private final DaemonState state;
    private final ClaimTable claims;
    private final MemberSample sample;
    private volatile Consumer<NewerVersions> onNewerVersions = versions -> {};
    private volatile Optional<CrashGuard> crashGuard = Optional.empty();

    /** Creates a service that answers from {@code state} and from the claims of this daemon. */
    public PeerService(DaemonState state, ClaimTable claims, MemberSample sample) {
        this.state = state;
        this.claims = claims;
        this.sample = sample;
    }

    /** Sets the gossip that fetches from members with newer versions. */
    public void setGossip(Gossip gossip) {
        onNewerVersions = gossip::fetchNewer;
    }

    /** Sets the guard that receives crash reports and notices of cleared requests. */
    public void setCrashGuard(CrashGuard guard) {
        crashGuard = Optional.of(guard);
    }

    @Override
    public PeerReply handle(PeerRequest request) {
        return switch (request) {
            case ClaimVoteRequest vote -> vote(vote);
            case ClaimSettleRequest settle -> settle(settle);
            case ClaimReleaseRequest release -> release(release);
            case SealRequest seal -> seal(seal);
            case InstallRequest install -> install(install);
            case GossipRequest gossip -> gossip(gossip);
            case ConfigPartsRequest parts -> parts(parts);
            case CrashReportRequest crash -> {
                crashGuard.ifPresent(guard -> guard.onCrashReport(crash.report()));
                yield new PeerReply.Acknowledged();
            }
            case CrashClearedRequest cleared -> {
                crashGuard.ifPresent(guard -> guard.onRequestCleared(cleared.fingerprint()));
                yield new PeerReply.Acknowledged();
            }
            case StoreUpdateRequest ignored ->
                new PeerReply.Rejected("follow: this daemon does not read the store for others");
            case AllowanceRequest ignored -> new PeerReply.Rejected("allowance: this daemon grants none");
        };
    }

    private PeerReply vote(ClaimVoteRequest vote) {
        if (!isGroup(vote.group())) {
            return new PeerReply.Rejected("group: " + vote.group() + " does not exist");
        }
        return new PeerReply.Voted(claims.vote(vote.group(), vote.epoch(), vote.claim()));
    }

    private PeerReply settle(ClaimSettleRequest settle) {
        if (!isGroup(settle.group())) {
            return new PeerReply.Rejected("group: " + settle.group() + " does not exist");
        }
        claims.settle(settle.group(), settle.key(), settle.holder(), settle.finalState());
        return new PeerReply.Acknowledged();
    }

    private PeerReply release(ClaimReleaseRequest release) {
        if (!isGroup(release.group())) {
            return new PeerReply.Rejected("group: " + release.group() + " does not exist");
        }
        claims.release(release.group(), release.key(), release.holder());
        return new PeerReply.Acknowledged();
    }

    private PeerReply seal(SealRequest seal) {
        if (!isGroup(seal.group())) {
            return new PeerReply.Rejected("group: " + seal.group() + " does not exist");
        }
        return new PeerReply.Sealed(claims.seal(seal.group(), seal.epoch()));
    }

    private PeerReply install(InstallRequest install) {
        if (!isGroup(install.group())) {
            return new PeerReply.Rejected("group: " + install.group() + " does not exist");
        }
        return new PeerReply.Installed(
                claims.install(install.group(), install.epoch(), install.changeId(), install.claims()));
    }

    private PeerReply gossip(GossipRequest gossip) {
        state.members().merge(gossip.members());
        long version = state.activeConfiguration().version();
        ClaimMap map = state.claimMap().current();
        LeavingList leaving = state.leaving();
        boolean senderIsNewer = gossip.configVersion() > version || gossip.claimMapVersion() > map.version();
        if (senderIsNewer && !gossip.members().members().isEmpty()) {
            Member sender = gossip.members().members().get(0);
            onNewerVersions.accept(new NewerVersions(sender, gossip.configVersion(), gossip.claimMapVersion()));
        }
        Optional<SignedHead> head = state.activeConfiguration()
                .snapshot()
                .filter(own -> own.head().version() > gossip.configVersion())
                .map(Snapshot::signed);
        Optional<ClaimMap> newerMap = Optional.of(map).filter(own -> own.version() > gossip.claimMapVersion());
        Optional<LeavingList> newerLeaving =
                Optional.of(leaving).filter(own -> own.asOfMillis() > gossip.leavingAsOfMillis());
        // Requests sent after an update contain only their sender. Their replies contain only this daemon to keep them
        // small.
        MemberDigest members = gossip.members().hasOtherMembers() ? sample.digest() : sample.ownDigest();
        return new PeerReply.Gossip(head, newerMap, newerLeaving, version, map.version(), members);
    }

    private PeerReply parts(ConfigPartsRequest request) {
        ImmutableMap.Builder<String, String> found = ImmutableMap.builder();
        Optional<Snapshot> snapshot = state.activeConfiguration().snapshot();
        if (snapshot.isEmpty()) {
            return new PeerReply.ConfigParts(ImmutableMap.of());
        }
        for (String digest : request.digests()) {
            String text = snapshot.get().parts().get(digest);
            if (text != null) {
                found.put(digest, text);
            }
        }
        return new PeerReply.ConfigParts(found.buildOrThrow());
    }

    private static boolean isGroup(int index) {
        return index >= 0 && index < ClaimMap.GROUP_COUNT;
    }
}
