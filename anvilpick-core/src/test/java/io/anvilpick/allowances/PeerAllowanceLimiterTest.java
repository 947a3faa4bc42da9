package io.anvilpick.allowances;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetView;
import io.anvilpick.messages.AllowanceRequest;
import io.anvilpick.messages.PeerException;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.tenants.Allowance;
import io.anvilpick.tenants.Tenant;
import io.anvilpick.tenants.TenantTable;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class PeerAllowanceLimiterTest {
    private static final Tenant TENANT = new Tenant("t", 0, Optional.of(new Allowance(10, 10)));

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final GrantorMembers members =
            new GrantorMembers(time, "self", () -> Duration.ZERO, ImmutableSet::of, false);
    private final List<Sent> sent = new ArrayList<>();
    private final Counts counts = new Counts();
    private final PeerAllowanceLimiter limiter = new PeerAllowanceLimiter(new PeerAllowanceLimiter.Parts(
            time,
            "self",
            members,
            new AllowanceGrantor(time, "self", members, TenantTable::none),
            this::send,
            AllowanceBounds.DEFAULT,
            counts,
            () -> new SplittableRandom(3)));

    private record Sent(String address, AllowanceRequest request, CompletableFuture<PeerReply> reply) {
        void grant(int tokens, Duration retryAfter) {
            reply.complete(new PeerReply.AllowanceGrant(tokens, retryAfter));
        }
    }

    private static final class Counts implements AllowanceCounts {
        private int granted;
        private int refused;
        private int unanswered;

        @Override
        public void granted(String tenant) {
            granted++;
        }

        @Override
        public void refused(String tenant) {
            refused++;
        }

        @Override
        public void unanswered(String tenant) {
            unanswered++;
        }

        @Override
        public void requested() {}
    }

    PeerAllowanceLimiterTest() {
        ImmutableList.Builder<EntryMember> fleet = ImmutableList.builder();
        for (int i = 0; i < 5; i++) {
            fleet.add(new EntryMember("d" + i, "d" + i + ":1", "d" + i + ":2", "r", "z"));
        }
        members.observe(new FleetView(Optional.empty(), ImmutableMap.of(), fleet.build()));
    }

    private CompletableFuture<PeerReply> send(String address, PeerRequest request, Deadline deadline) {
        assertEquals(Duration.ofMillis(60), deadline.remaining(time));
        Sent message = new Sent(address, (AllowanceRequest) request, new CompletableFuture<>());
        sent.add(message);
        return message.reply();
    }

    private static void assertWithin(CompletableFuture<AllowanceDecision> decision) {
        assertInstanceOf(AllowanceDecision.Within.class, decision.getNow(null));
    }

    @Test
    void concurrentRequestsShareOneMessageInFlight() {
        CompletableFuture<AllowanceDecision> first = limiter.decide(TENANT);
        CompletableFuture<AllowanceDecision> second = limiter.decide(TENANT);
        CompletableFuture<AllowanceDecision> third = limiter.decide(TENANT);
        assertEquals(1, sent.size());
        sent.getFirst().grant(1, Duration.ZERO);
        assertWithin(first);
        assertFalse(second.isDone());
        assertEquals(2, sent.get(1).request().wanted());
        sent.get(1).grant(2, Duration.ZERO);
        assertWithin(second);
        assertWithin(third);
        assertEquals(3, counts.granted);
    }

    @Test
    void asksThreeGrantorsAndRefusesWithTheShortestTime() {
        CompletableFuture<AllowanceDecision> decision = limiter.decide(TENANT);
        sent.get(0).grant(0, Duration.ofMillis(300));
        sent.get(1).grant(0, Duration.ofMillis(200));
        sent.get(2).grant(0, Duration.ofMillis(400));
        assertEquals(3, sent.size());
        assertEquals(3, sent.stream().map(Sent::address).distinct().count());
        assertEquals(new AllowanceDecision.Exceeded(Duration.ofMillis(200)), decision.getNow(null));
        assertEquals(1, counts.refused);
    }

    /** Guards against messages for each refused request of a tenant far beyond its allowance. */
    @Test
    void refusesWithoutMessagesWhileNoGrantorCanHaveAToken() {
        limiter.decide(TENANT);
        sent.get(0).grant(0, Duration.ofMillis(300));
        sent.get(1).grant(0, Duration.ofMillis(300));
        sent.get(2).grant(0, Duration.ofMillis(300));
        limiter.decide(TENANT);
        sent.get(3).grant(0, Duration.ofMillis(300));
        sent.get(4).grant(0, Duration.ofMillis(300));
        time.advance(Duration.ofMillis(100));
        assertEquals(
                new AllowanceDecision.Exceeded(Duration.ofMillis(200)),
                limiter.decide(TENANT).getNow(null));
        assertEquals(5, sent.size());
        time.advance(Duration.ofMillis(200));
        limiter.decide(TENANT);
        assertEquals(6, sent.size());
    }

    @Test
    void failedGrantorIsAskedLastForASecond() {
        CompletableFuture<AllowanceDecision> decision = limiter.decide(TENANT);
        String failed = sent.getFirst().address();
        sent.getFirst().reply().completeExceptionally(new PeerException("lost", false));
        sent.get(1).grant(1, Duration.ZERO);
        assertWithin(decision);
        for (int i = 2; i < 6; i++) {
            limiter.decide(TENANT);
            assertFalse(sent.get(i).address().equals(failed));
            sent.get(i).grant(1, Duration.ZERO);
        }
    }

    /** Guards against tokens that a suspended holder uses after it has resumed. */
    @Test
    void tokensExpireByTheTimeOfTheRequestForThem() {
        limiter.decide(TENANT);
        CompletableFuture<AllowanceDecision> second = limiter.decide(TENANT);
        time.advance(Duration.ofMillis(300));
        sent.getFirst().grant(1, Duration.ZERO);
        assertFalse(second.isDone());
        assertEquals(2, sent.size());
    }

    @Test
    void returnedTokenIsUsedOnceAndBeforeItExpires() {
        CompletableFuture<AllowanceDecision> decision = limiter.decide(TENANT);
        sent.getFirst().grant(1, Duration.ZERO);
        AllowancePermit permit = ((AllowanceDecision.Within) decision.join()).permit();
        permit.giveBack();
        permit.giveBack();
        assertWithin(limiter.decide(TENANT));
        assertFalse(limiter.decide(TENANT).isDone());
        assertEquals(2, sent.size());
    }

    @Test
    void withoutAnAnswerOnlyTheReserveIsUsed() {
        int within = 0;
        for (int i = 0; i < 600; i++) {
            CompletableFuture<AllowanceDecision> decision = limiter.decide(TENANT);
            while (!decision.isDone()) {
                sent.getLast().reply().completeExceptionally(new PeerException("lost", false));
            }
            within += decision.join() instanceof AllowanceDecision.Within ? 1 : 0;
            time.advance(Duration.ofMillis(100));
        }
        // (0.02 x 60 + 8) / 5 in each 5 s of a minute.
        assertEquals(22, within, 1);
        assertEquals(600 - within, counts.unanswered);
    }

    @Test
    void tenantWithoutAnAllowanceSendsNothing() throws InterruptedException {
        Tenant unlimited = new Tenant("u", 0, Optional.empty());
        assertInstanceOf(
                AllowanceDecision.Within.class,
                limiter.acquire(unlimited, Deadline.after(time, Duration.ofSeconds(1))));
        assertTrue(sent.isEmpty());
    }

    @Test
    void requestWhoseDeadlinePassesLeavesItsTokenToTheNext() throws InterruptedException {
        assertInstanceOf(
                AllowanceDecision.Unavailable.class, limiter.acquire(TENANT, Deadline.after(time, Duration.ZERO)));
        CompletableFuture<AllowanceDecision> next = limiter.decide(TENANT);
        sent.getFirst().grant(1, Duration.ZERO);
        assertWithin(next);
    }
}
