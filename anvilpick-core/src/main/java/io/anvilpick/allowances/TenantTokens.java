package io.anvilpick.allowances;

import com.google.common.collect.ImmutableList;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.tenants.Allowance;
import io.anvilpick.tenants.Tenant;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/**
 * The tokens of one tenant at one daemon, and the requests that wait for them. Not thread safe. It sends nothing: each method returns
 * what is to be done.
 *
 * <p>At most one message of a tenant is in flight. A round asks one grantor after the other until the waiting requests have their
 * tokens. Grantors that cannot have a token yet are not asked, so that a request beyond the allowance is mostly refused without
 * a message.
 */
final class TenantTokens {
    /** Grantors whose answer a request waits for. */
    private static final int MAX_ASKED = 3;

    /** Messages in a round, including those to daemons that turn out not to be grantors. */
    private static final int MAX_MESSAGES = 8;

    /** Time for which a grantor that failed is asked last. */
    private static final long FAILURE_MEMORY_NANOS = 1_000_000_000L;

    /** Time until an empty grantor is asked again. It bounds the messages of a tenant far beyond its allowance. */
    private static final long MIN_RETURN_NANOS = 40_000_000L;

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);

    private final LocalReserve reserve;
    private final SplittableRandom random;
    private final TokenStock stock = new TokenStock();
    private final ArrayDeque<Waiter> waiters = new ArrayDeque<>();
    private final Map<String, Memory> memories = new HashMap<>();
    private ImmutableList<EntryMember> grantors = ImmutableList.of();
    private long selectionVersion = -1;
    private Allowance allowance;
    private @Nullable Round round;
    private boolean messageInFlight;

    /** A request that waits for a token. */
    static final class Waiter {
        private final CompletableFuture<TokenDecision> decision = new CompletableFuture<>();
        private @Nullable Round arrivedIn;

        CompletableFuture<TokenDecision> decision() {
            return decision;
        }
    }

    /** The decision on one request. */
    sealed interface TokenDecision {
        /** The request has a token until {@code expiresNanos}. */
        record Granted(long expiresNanos) implements TokenDecision {}

        /** The grantors have no token. */
        record Refused(Duration retryAfter) implements TokenDecision {}

        /** No grantor has answered. */
        record Unanswered(Duration retryAfter) implements TokenDecision {}
    }

    /** A message to {@code grantor}, sent at {@code sentNanos}. */
    record Ask(EntryMember grantor, int wanted, long sentNanos) {}

    /** The decision that is to be delivered to {@code waiter}. */
    record Delivery(Waiter waiter, TokenDecision decision) {}

    /** What is to be done, in this order. */
    record Actions(List<Delivery> deliveries, Optional<Ask> ask) {}

    /** The state of one round. */
    private static final class Round {
        private final Set<String> asked = new HashSet<>();
        private int answersAndFailures;
        private boolean answered;
        private int granted;
    }

    /** What a grantor last replied. */
    private static final class Memory {
        private boolean grantedAll;
        private long availableNanos;
        private long failedUntilNanos;

        private Memory(long nowNanos) {
            this.availableNanos = nowNanos;
            this.failedUntilNanos = nowNanos;
        }
    }

    TenantTokens(Allowance allowance, AllowanceBounds bounds, SplittableRandom random) {
        this.allowance = allowance;
        this.reserve = new LocalReserve(bounds);
        this.random = random;
    }

    /** Adds a request. */
    Actions enter(Waiter waiter, Tenant tenant, GrantorSelection selection, long now) {
        tenant.allowance().ifPresent(each -> allowance = each);
        waiter.arrivedIn = round;
        waiters.addLast(waiter);
        return proceed(tenant.name(), selection, now);
    }

    /** Removes a request that no longer waits. Returns false if it had been decided on. */
    boolean leave(Waiter waiter) {
        return waiters.remove(waiter);
    }

    /** Takes back a token that was not used. */
    Actions giveBack(long expiresNanos, Tenant tenant, GrantorSelection selection, long now) {
        stock.add(1, expiresNanos, now);
        return round != null ? new Actions(serve(now), Optional.empty()) : proceed(tenant.name(), selection, now);
    }

    /** Records the reply to {@code ask}. */
    Actions replied(Ask ask, PeerReply reply, Tenant tenant, GrantorSelection selection, long now) {
        Memory memory = memoryOf(ask.grantor(), now);
        Round current = round;
        switch (reply) {
            case PeerReply.AllowanceGrant grant -> {
                int granted = Math.clamp(grant.granted(), 0, ask.wanted());
                stock.add(granted, ask.sentNanos() + TokenStock.VALIDITY_NANOS, now);
                memory.failedUntilNanos = now;
                memory.grantedAll = granted == ask.wanted();
                memory.availableNanos = memory.grantedAll
                        ? now
                        : now + Math.max(MIN_RETURN_NANOS, grant.retryAfter().toNanos());
                if (current != null) {
                    current.answered = true;
                    current.answersAndFailures++;
                    current.granted += granted;
                }
            }
            case PeerReply.NotGrantor ignored -> memory.failedUntilNanos = now + FAILURE_MEMORY_NANOS;
            default -> recordFailure(memory, current, now);
        }
        return afterReply(tenant, selection, now);
    }

    /** Records that {@code ask} was not answered. */
    Actions failed(Ask ask, Tenant tenant, GrantorSelection selection, long now) {
        recordFailure(memoryOf(ask.grantor(), now), round, now);
        return afterReply(tenant, selection, now);
    }

    private Actions afterReply(Tenant tenant, GrantorSelection selection, long now) {
        messageInFlight = false;
        return proceed(tenant.name(), selection, now);
    }

    private static void recordFailure(Memory memory, @Nullable Round current, long now) {
        memory.failedUntilNanos = now + FAILURE_MEMORY_NANOS;
        memory.grantedAll = false;
        if (current != null) {
            current.answersAndFailures++;
        }
    }

    private Actions proceed(String tenant, GrantorSelection selection, long now) {
        List<Delivery> deliveries = serve(now);
        if (messageInFlight) {
            return new Actions(deliveries, Optional.empty());
        }
        updateGrantors(tenant, selection);
        while (!waiters.isEmpty()) {
            if (round == null) {
                round = new Round();
            }
            Optional<EntryMember> next = nextGrantor(round, now);
            if (next.isPresent()) {
                round.asked.add(next.get().name());
                int wanted = Math.max(waiters.size(), 1 + stock.expectedUses(now) - round.granted);
                messageInFlight = true;
                return new Actions(deliveries, Optional.of(new Ask(next.get(), wanted, now)));
            }
            endRound(round, selection, now, deliveries);
            round = null;
        }
        round = null;
        return new Actions(deliveries, Optional.empty());
    }

    /** Decides on the requests that have waited for the whole round. The others wait for the next round. */
    private void endRound(Round ended, GrantorSelection selection, long now, List<Delivery> deliveries) {
        Optional<Duration> retryAfter = untilAvailable(ended, now);
        Iterator<Waiter> each = waiters.iterator();
        while (each.hasNext()) {
            Waiter waiter = each.next();
            if (waiter.arrivedIn == ended) {
                waiter.arrivedIn = null;
                continue;
            }
            each.remove();
            deliveries.add(new Delivery(waiter, withoutToken(retryAfter, selection, now)));
        }
    }

    private TokenDecision withoutToken(Optional<Duration> retryAfter, GrantorSelection selection, long now) {
        if (retryAfter.isPresent()) {
            return new TokenDecision.Refused(retryAfter.get());
        }
        if (reserve.tryTake(allowance, selection.daemons(), random, now)) {
            return new TokenDecision.Granted(now);
        }
        return new TokenDecision.Unanswered(clamp(reserve.untilNext(now)));
    }

    /** Returns the shortest time until a grantor that works has a token; empty if none of them has answered. */
    private Optional<Duration> untilAvailable(Round ended, long now) {
        boolean known = ended.answered;
        long shortest = MIN_RETRY_AFTER.toNanos();
        boolean found = false;
        for (EntryMember grantor : grantors) {
            Memory memory = memoryOf(grantor, now);
            if (memory.failedUntilNanos - now > 0 || memory.availableNanos - now <= 0) {
                continue;
            }
            long remaining = memory.availableNanos - now;
            shortest = found ? Math.min(shortest, remaining) : remaining;
            found = true;
        }
        if (!known && !found) {
            return Optional.empty();
        }
        return Optional.of(Duration.ofNanos(Math.max(1, shortest)));
    }

    private static Duration clamp(Duration duration) {
        if (duration.compareTo(MIN_RETRY_AFTER) < 0) {
            return MIN_RETRY_AFTER;
        }
        return duration.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : duration;
    }

    private Optional<EntryMember> nextGrantor(Round current, long now) {
        if (current.answersAndFailures >= MAX_ASKED || current.asked.size() >= MAX_MESSAGES) {
            return Optional.empty();
        }
        EntryMember best = null;
        int bestOrder = Integer.MAX_VALUE;
        int ties = 0;
        for (EntryMember grantor : grantors) {
            Memory memory = memoryOf(grantor, now);
            if (current.asked.contains(grantor.name()) || memory.availableNanos - now > 0) {
                continue;
            }
            int order = orderOf(memory, now);
            ties = order == bestOrder ? ties + 1 : 1;
            if (order < bestOrder || order == bestOrder && random.nextInt(ties) == 0) {
                best = grantor;
                bestOrder = order;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the place of a grantor: those that granted all come first, those that failed last. */
    private static int orderOf(Memory memory, long now) {
        if (memory.failedUntilNanos - now > 0) {
            return 2;
        }
        return memory.grantedAll ? 0 : 1;
    }

    private List<Delivery> serve(long now) {
        List<Delivery> deliveries = new ArrayList<>();
        while (!waiters.isEmpty()) {
            long expires = stock.take(now);
            if (expires - now <= 0) {
                break;
            }
            deliveries.add(new Delivery(waiters.removeFirst(), new TokenDecision.Granted(expires)));
        }
        return deliveries;
    }

    private void updateGrantors(String tenant, GrantorSelection selection) {
        if (selectionVersion == selection.version()) {
            return;
        }
        selectionVersion = selection.version();
        grantors = selection.grantorsOf(tenant);
        Set<String> names = new HashSet<>();
        grantors.forEach(grantor -> names.add(grantor.name()));
        memories.keySet().retainAll(names);
    }

    private Memory memoryOf(EntryMember grantor, long now) {
        return memories.computeIfAbsent(grantor.name(), name -> new Memory(now));
    }
}
