package io.anvilpick.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.InvalidProtocolBufferException;
import io.anvilpick.claims.Claim;
import io.anvilpick.claims.ClaimGroup;
import io.anvilpick.claims.ClaimKey;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.ClaimState;
import io.anvilpick.claims.SealedGroup;
import io.anvilpick.claims.StoredAnswer;
import io.anvilpick.claims.Vote;
import io.anvilpick.config.SignedHead;
import io.anvilpick.crashes.CrashReport;
import io.anvilpick.fleet.FleetUpdate;
import io.anvilpick.fleet.RelayedUpdate;
import io.anvilpick.fleet.StoreRevision;
import io.anvilpick.fleet.StoredItem;
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
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class PeerCodecTest {
    private static final ClaimKey KEY = new ClaimKey("tillhand", "burgas", "key");
    private static final Claim RUNNING = new Claim(KEY, "holder", "print", new ClaimState.Running(), 7, 9);
    private static final Claim OUTCOME_UNKNOWN = RUNNING.withState(new ClaimState.OutcomeUnknown());
    private static final Member MEMBER = new Member("i", "c:1", "p:2", "region", "zone", true, 3);

    private static final MemberDigest DIGEST =
            new MemberDigest(ImmutableList.of(MEMBER), ImmutableList.of(new MemberHeartbeat("j", 4)));

    private static final List<PeerRequest> REQUESTS = List.of(
            new ClaimVoteRequest(1, 2, RUNNING),
            new ClaimSettleRequest(1, KEY, "holder", new ClaimState.Done(Optional.empty())),
            new ClaimReleaseRequest(1, KEY, "holder"),
            new SealRequest(1, 2),
            new InstallRequest(1, 2, "change", ImmutableList.of(RUNNING, OUTCOME_UNKNOWN)),
            new GossipRequest(1, 2, 3, DIGEST),
            new ConfigPartsRequest(ImmutableSet.of("a", "b")),
            new CrashReportRequest(new CrashReport("print", "t:1", 5)),
            new CrashClearedRequest("print"),
            new AllowanceRequest("tenant", 3),
            new StoreUpdateRequest(StoreRevision.NONE),
            new StoreUpdateRequest(new StoreRevision(2, 7)));

    private static final List<PeerReply> REPLIES = List.of(
            new PeerReply.Acknowledged(),
            new PeerReply.Voted(new Vote.Granted()),
            new PeerReply.Voted(new Vote.Taken(OUTCOME_UNKNOWN)),
            new PeerReply.Voted(new Vote.WrongEpoch(4)),
            new PeerReply.Sealed(new SealedGroup(1, 2, true, ImmutableList.of(RUNNING))),
            new PeerReply.Installed(true),
            new PeerReply.Gossip(
                    Optional.of(new SignedHead("head", "signature")),
                    Optional.of(new ClaimMap(3, ImmutableList.of(new ClaimGroup(0, 1, "c", 2, ImmutableList.of("i"))))),
                    Optional.of(new LeavingList(8, ImmutableSet.of("10.0.0.1"))),
                    1,
                    3,
                    DIGEST),
            new PeerReply.ConfigParts(ImmutableMap.of("digest", "text")),
            new PeerReply.StoreUpdate(new RelayedUpdate(
                    new FleetUpdate.FullState(
                            ImmutableList.of(new StoredItem("a", new StoreRevision(2, 3), Optional.of("text"))),
                            new StoreRevision(2, 4)),
                    Duration.ofMillis(5))),
            new PeerReply.StoreUpdate(new RelayedUpdate(
                    new FleetUpdate.Changes(
                            ImmutableList.of(new StoredItem("a", new StoreRevision(0, 5), Optional.empty())),
                            new StoreRevision(0, 6)),
                    Duration.ZERO)),
            new PeerReply.AllowanceGrant(2, Duration.ofMillis(150)),
            new PeerReply.NotGrantor(Duration.ofSeconds(4)),
            new PeerReply.Rejected("reason"));

    @Test
    void everyRequestIsUnchangedByTheRoundTrip() throws Exception {
        for (PeerRequest request : REQUESTS) {
            PeerProto.Envelope sent =
                    PeerProto.Envelope.parseFrom(PeerCodec.encode(5, request).toByteArray());
            assertEquals(Optional.of(request), PeerCodec.decodeRequest(sent));
            assertTrue(PeerCodec.decodeReply(sent).isEmpty());
            assertEquals(5, sent.getRequestId());
        }
    }

    @Test
    void everyReplyIsUnchangedByTheRoundTrip() throws Exception {
        for (PeerReply reply : REPLIES) {
            PeerProto.Envelope sent =
                    PeerProto.Envelope.parseFrom(PeerCodec.encode(5, reply).toByteArray());
            assertEquals(Optional.of(reply), PeerCodec.decodeReply(sent));
            assertTrue(PeerCodec.decodeRequest(sent).isEmpty());
        }
    }

    /** Guards against a daemon that cannot follow, or relay to, one of a build without eras. */
    @Test
    void storeUpdatesWithoutAnEraAreOfEraZero() {
        PeerProto.Envelope request = PeerProto.Envelope.newBuilder()
                .setFollow(PeerProto.Follow.newBuilder().setAfter(7))
                .build();
        assertEquals(Optional.of(new StoreUpdateRequest(new StoreRevision(0, 7))), PeerCodec.decodeRequest(request));
        PeerProto.Envelope reply = PeerProto.Envelope.newBuilder()
                .setFollowed(PeerProto.Followed.newBuilder().setWhole(true).setRevision(9))
                .build();
        FleetUpdate update = new FleetUpdate.FullState(ImmutableList.of(), new StoreRevision(0, 9));
        assertEquals(
                Optional.of(new PeerReply.StoreUpdate(new RelayedUpdate(update, Duration.ZERO))),
                PeerCodec.decodeReply(reply));
    }

    @Test
    void storedAnswerIsUnchangedByTheRoundTrip() {
        StoredAnswer kept = new StoredAnswer(201, "text/plain", new byte[] {0, 1, -1});
        PeerRequest request = new ClaimSettleRequest(1, KEY, "holder", new ClaimState.Done(Optional.of(kept)));
        ClaimSettleRequest decoded = assertInstanceOf(
                ClaimSettleRequest.class,
                PeerCodec.decodeRequest(PeerCodec.encode(1, request)).orElseThrow());
        StoredAnswer answer = assertInstanceOf(ClaimState.Done.class, decoded.finalState())
                .answer()
                .orElseThrow();
        assertEquals(201, answer.status());
        assertArrayEquals(kept.body(), answer.body());
    }

    /**
     * Arbitrary bytes decode to a request, a reply or neither, or are not an envelope. No other exception is thrown.
     */
    @Property(tries = 2_000, seed = "9")
    void arbitraryBytesAreDecodedOrRejected(@ForAll byte[] bytes) {
        try {
            PeerProto.Envelope envelope = PeerProto.Envelope.parseFrom(bytes);
            assertTrue(PeerCodec.decodeRequest(envelope).isEmpty()
                    || PeerCodec.decodeReply(envelope).isEmpty());
        } catch (InvalidProtocolBufferException e) {
            assertTrue(bytes.length > 0);
        }
    }
}
