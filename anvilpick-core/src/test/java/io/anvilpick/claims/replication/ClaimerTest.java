package io.anvilpick.claims.replication;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.common.collect.ImmutableList;
import io.anvilpick.claims.ClaimGroup;
import io.anvilpick.claims.ClaimKey;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.ClaimTable;
import io.anvilpick.membership.Member;
import io.anvilpick.membership.MemberTable;
import io.anvilpick.messages.PeerException;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class ClaimerTest {
    private static final ClaimKey KEY = new ClaimKey("service", "tenant", "2027-key");

    /** A clock on which each reading takes 50 ms. */
    private static final class AdvancingTime implements TimeSource {
        private final AtomicLong millis = new AtomicLong();

        @Override
        public long nanos() {
            return Duration.ofMillis(millis.addAndGet(50)).toNanos();
        }

        @Override
        public long epochMillis() {
            return millis.addAndGet(50);
        }
    }

    private final TimeSource time = new AdvancingTime();

    private Claimer claimer(ClaimMap map) {
        ClaimTable table = new ClaimTable("self", ClaimMap.GROUP_COUNT, time);
        LatestClaimMap maps = new LatestClaimMap(table);
        maps.updateIfNewer(map);
        ReplicaClient replicas = new ReplicaClient(
                "self",
                new MemberTable(new Member("self", "self:80", "self:70", "region", "z", false, 1), time),
                (address, request, deadline) -> CompletableFuture.failedFuture(new PeerException("no answer", false)),
                request -> new PeerReply.Rejected("not expected"));
        return new Claimer(maps, replicas, time, new SplittableRandom(1));
    }

    private ClaimOutcome claim(ClaimGroup group) throws InterruptedException {
        Deadline deadline = Deadline.after(time, Duration.ofSeconds(1));
        return claimer(new ClaimMap(1, ImmutableList.of(group)))
                .claim(new Claimer.ClaimRequest(KEY, "fingerprint", 60_000, deadline));
    }

    /** Guards against a vote that waits for ever because nobody votes. */
    @Test
    @Timeout(20)
    void voteInAGroupWithoutReplicasEndsWithItsDeadline() throws Exception {
        assertInstanceOf(ClaimOutcome.Unavailable.class, claim(new ClaimGroup(0, 1, "change", 0, ImmutableList.of())));
    }

    @Test
    @Timeout(20)
    void voteOfReplicasThatCannotBeReachedEndsWithItsDeadline() throws Exception {
        ClaimGroup group = new ClaimGroup(0, 1, "change", 0, ImmutableList.of("a", "b", "c"));
        assertInstanceOf(ClaimOutcome.Unavailable.class, claim(group));
    }
}
