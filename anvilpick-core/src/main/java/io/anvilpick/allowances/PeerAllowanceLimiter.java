package io.anvilpick.allowances;

import io.anvilpick.messages.AllowanceRequest;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerTransport;
import io.anvilpick.shard.Shards;
import io.anvilpick.tenants.Allowance;
import io.anvilpick.tenants.Tenant;
import io.anvilpick.tenants.TenantTable;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * Limits requests with tokens that other daemons grant. Thread safe, in shards by tenant. Made for 1,000 requests a second of some
 * hundred active tenants.
 */
public final class PeerAllowanceLimiter implements AllowanceLimiter {
    private static final Logger LOG = Logger.getLogger(PeerAllowanceLimiter.class);
    private static final int SHARDS = 16;

    /** Time for a grantor to answer. Zones are up to 3 ms apart, one way. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(60);

    /** Time without a refusal after which a tenant no longer exceeds its allowance. */
    private static final Duration EXCEEDING_ENDS_AFTER = Duration.ofSeconds(5);

    private final TimeSource time;
    private final String self;
    private final GrantorMembers members;
    private final AllowanceGrantor grantor;
    private final PeerTransport peers;
    private final AllowanceBounds bounds;
    private final AllowanceCounts counts;
    private final Shards<Shard> shards;

    /** The state of the tenants of one shard. */
    private static final class Shard {
        private final SplittableRandom random;
        private final Map<String, HolderState> states = new HashMap<>();

        private Shard(SplittableRandom random) {
            this.random = random;
        }
    }

    /** The state of one tenant. */
    private static final class HolderState {
        private final TenantTokens tokens;
        private Deadline keptUntil;
        private boolean exceeding;
        private long refusals;
        private long lastRefusalNanos;

        private HolderState(TenantTokens tokens, Deadline keptUntil) {
            this.tokens = tokens;
            this.keptUntil = keptUntil;
        }
    }

    /**
     * The dependencies of a limiter.
     *
     * @param self name of this daemon
     * @param grantor grants the tokens of the tenants whose grantor this daemon is
     * @param randoms supplies random generators, one for each shard
     */
    public record Parts(
            TimeSource time,
            String self,
            GrantorMembers members,
            AllowanceGrantor grantor,
            PeerTransport peers,
            AllowanceBounds bounds,
            AllowanceCounts counts,
            Supplier<SplittableRandom> randoms) {}

    /** Creates a limiter without tokens. */
    public PeerAllowanceLimiter(Parts parts) {
        this.time = parts.time();
        this.self = parts.self();
        this.members = parts.members();
        this.grantor = parts.grantor();
        this.peers = parts.peers();
        this.bounds = parts.bounds();
        this.counts = parts.counts();
        this.shards = Shards.create(SHARDS, () -> new Shard(parts.randoms().get()));
    }

    @Override
    public AllowanceDecision acquire(Tenant tenant, Deadline deadline) throws InterruptedException {
        if (tenant.allowance().isEmpty()) {
            return new AllowanceDecision.Within(AllowancePermit.uncounted());
        }
        TenantTokens.Waiter waiter = new TenantTokens.Waiter();
        enter(tenant, waiter);
        try {
            long remaining = Math.max(0, deadline.remainingNanos(time.nanos()));
            return decisionOf(tenant, waiter.decision().get(remaining, TimeUnit.NANOSECONDS));
        } catch (TimeoutException e) {
            abandon(tenant, waiter);
            counts.unanswered(tenant.name());
            return new AllowanceDecision.Unavailable(ANSWER_TIMEOUT);
        } catch (InterruptedException e) {
            abandon(tenant, waiter);
            throw e;
        } catch (ExecutionException e) {
            throw new IllegalStateException("a decision does not fail", e);
        }
    }

    /** Decides on one request without blocking. The tenant has an allowance. */
    CompletableFuture<AllowanceDecision> decide(Tenant tenant) {
        TenantTokens.Waiter waiter = new TenantTokens.Waiter();
        enter(tenant, waiter);
        return waiter.decision().thenApply(decision -> decisionOf(tenant, decision));
    }

    private void enter(Tenant tenant, TenantTokens.Waiter waiter) {
        GrantorSelection selection = members.forHolder();
        perform(tenant, update(tenant, tokens -> tokens.enter(waiter, tenant, selection, time.nanos())));
    }

    private void abandon(Tenant tenant, TenantTokens.Waiter waiter) {
        boolean left = update(tenant, tokens -> tokens.leave(waiter));
        if (!left) {
            waiter.decision().thenAccept(decision -> {
                if (decision instanceof TenantTokens.TokenDecision.Granted granted) {
                    giveBack(tenant, granted.expiresNanos());
                }
            });
        }
    }

    private void giveBack(Tenant tenant, long expiresNanos) {
        GrantorSelection selection = members.forHolder();
        perform(tenant, update(tenant, tokens -> tokens.giveBack(expiresNanos, tenant, selection, time.nanos())));
    }

    private AllowanceDecision decisionOf(Tenant tenant, TenantTokens.TokenDecision decision) {
        return switch (decision) {
            case TenantTokens.TokenDecision.Granted(long expiresNanos) -> {
                counts.granted(tenant.name());
                recordWithin(tenant);
                AtomicBoolean returned = new AtomicBoolean();
                yield new AllowanceDecision.Within(() -> {
                    if (returned.compareAndSet(false, true)) {
                        giveBack(tenant, expiresNanos);
                    }
                });
            }
            case TenantTokens.TokenDecision.Refused(Duration retryAfter) -> {
                counts.refused(tenant.name());
                recordRefusal(tenant);
                yield new AllowanceDecision.Exceeded(retryAfter);
            }
            case TenantTokens.TokenDecision.Unanswered(Duration retryAfter) -> {
                counts.unanswered(tenant.name());
                yield new AllowanceDecision.Unavailable(retryAfter);
            }
        };
    }

    /** Performs {@code actions} and those that follow from grants of this daemon itself. No lock is held. */
    private void perform(Tenant tenant, TenantTokens.Actions actions) {
        TenantTokens.Actions current = actions;
        while (true) {
            current.deliveries()
                    .forEach(delivery -> delivery.waiter().decision().complete(delivery.decision()));
            if (current.ask().isEmpty()) {
                return;
            }
            TenantTokens.Ask ask = current.ask().get();
            AllowanceRequest request = new AllowanceRequest(tenant.name(), ask.wanted());
            if (!ask.grantor().name().equals(self)) {
                send(tenant, ask, request);
                return;
            }
            current = afterReply(tenant, ask, grantor.grant(request));
        }
    }

    private void send(Tenant tenant, TenantTokens.Ask ask, AllowanceRequest request) {
        counts.requested();
        Deadline deadline = new Deadline(ask.sentNanos() + ANSWER_TIMEOUT.toNanos());
        reply(ask, request, deadline).whenComplete((reply, failure) -> {
            if (failure == null) {
                perform(tenant, afterReply(tenant, ask, reply));
                return;
            }
            LOG.debugf(
                    "event=grantor_no_answer name=%s reason=\"%s\"",
                    ask.grantor().name(), failure);
            GrantorSelection selection = members.forHolder();
            perform(tenant, update(tenant, tokens -> tokens.failed(ask, tenant, selection, time.nanos())));
        });
    }

    /** Sends {@code request}. An address that cannot be used is a failure like others, after which the next grantor is asked. */
    private CompletableFuture<PeerReply> reply(TenantTokens.Ask ask, AllowanceRequest request, Deadline deadline) {
        try {
            return peers.send(ask.grantor().peerAddress(), request, deadline);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private TenantTokens.Actions afterReply(Tenant tenant, TenantTokens.Ask ask, PeerReply reply) {
        if (reply instanceof PeerReply.NotGrantor refusal
                && refusal.settlesAfter().isPositive()) {
            members.reportUnsettled(ask.grantor().name(), refusal.settlesAfter());
        }
        GrantorSelection selection = members.forHolder();
        return update(tenant, tokens -> tokens.replied(ask, reply, tenant, selection, time.nanos()));
    }

    /**
     * Removes the state of tenants that {@code inForce} lacks and that have not been used for
     * {@link AllowanceGrantor#TENANT_KEPT}.
     */
    public void retain(TenantTable inForce) {
        shards.forEach(shard -> shard.states
                .entrySet()
                .removeIf(entry -> inForce.named(entry.getKey()).isEmpty()
                        && entry.getValue().keptUntil.hasPassed(time)));
    }

    private <R> R update(Tenant tenant, Function<TenantTokens, R> change) {
        return shards.withShardOf(tenant.name(), shard -> change.apply(stateOf(shard, tenant).tokens));
    }

    private HolderState stateOf(Shard shard, Tenant tenant) {
        Deadline keptUntil = Deadline.after(time, AllowanceGrantor.TENANT_KEPT);
        HolderState state = shard.states.computeIfAbsent(tenant.name(), name -> {
            Allowance allowance = tenant.allowance().orElseThrow();
            return new HolderState(new TenantTokens(allowance, bounds, shard.random), keptUntil);
        });
        state.keptUntil = keptUntil;
        return state;
    }

    private void recordRefusal(Tenant tenant) {
        boolean begins = shards.withShardOf(tenant.name(), shard -> {
            HolderState state = stateOf(shard, tenant);
            boolean first = !state.exceeding;
            state.exceeding = true;
            state.refusals = first ? 1 : state.refusals + 1;
            state.lastRefusalNanos = time.nanos();
            return first;
        });
        if (begins) {
            LOG.infof(
                    "event=allowance_exceeded tenant=%s rate_per_s=%s burst=%s",
                    tenant.name(),
                    tenant.allowance().map(Allowance::ratePerSecond).orElse(0.0),
                    tenant.allowance().map(Allowance::burst).orElse(0.0));
        }
    }

    private void recordWithin(Tenant tenant) {
        Optional<Long> refusals = shards.withShardOf(tenant.name(), shard -> {
            HolderState state = stateOf(shard, tenant);
            if (!state.exceeding || time.nanos() - state.lastRefusalNanos < EXCEEDING_ENDS_AFTER.toNanos()) {
                return Optional.empty();
            }
            state.exceeding = false;
            return Optional.of(state.refusals);
        });
        refusals.ifPresent(count -> LOG.infof("event=allowance_kept tenant=%s refused=%d", tenant.name(), count));
    }
}
