package io.anvilpick.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Counts what each tenant has asked for and received lately, and names the tenants that starve. Guarded by the dispatcher's lock.
 *
 * <p>Load pattern: 88 tenants with urgent and less urgent calls, of which one sends 5.7 times its usual load. The urgent ones alone
 * can use all targets, and an equal share of a large tenant is small compared with its demand. Memory is bounded by the number of
 * tenants that called within about 20 s.
 */
final class TenantShares {
    /** Time over which counts decay to 1/e. It is the length of a burst. */
    private static final double DECAY_NANOS = Duration.ofSeconds(5).toNanos();

    /** Time without any dispatch after which a tenant with few calls may starve. */
    private static final long MIN_UNSERVED_NANOS = Duration.ofMillis(250).toNanos();

    /** Number of calls from which the part of them that was served is meaningful. */
    private static final double MANY_CALLS = 8;

    /** Starving means being served less than a quarter as often as all tenants. Help begins earlier, as calls sent may be answered late. */
    private static final double STARVING_RATIO = 0.5;

    /** One of this many dispatches goes to a tenant that starves. */
    static final int DISPATCHES_PER_TURN = 8;

    /** Count of calls below which a tenant is forgotten. */
    private static final double NEGLIGIBLE_CALLS = 0.02;

    private static final long PRUNE_NANOS = Duration.ofSeconds(1).toNanos();

    private final Map<String, Share> shares = new HashMap<>();
    private final Share total = new Share(0);
    private long prunedNanos;
    private int dispatches;

    /** The decayed counts of one tenant. */
    private static final class Share {
        private double asked;
        private double served;
        private long countedNanos;
        private long servedNanos;

        private Share(long now) {
            countedNanos = now;
            servedNanos = now;
        }

        private void count(double newlyAsked, double newlyServed, long now) {
            double kept = Math.exp(-(now - countedNanos) / DECAY_NANOS);
            asked = asked * kept + newlyAsked;
            served = served * kept + newlyServed;
            countedNanos = now;
        }

        private double ratio() {
            return asked == 0 ? 1 : served / asked;
        }
    }

    /** Counts a call that asks to be sent. */
    void onAsked(Call call, long now) {
        prune(now);
        total.count(1, 0, now);
        shares.computeIfAbsent(call.tenant(), tenant -> new Share(now)).count(1, 0, now);
    }

    /** Counts a call that was sent. */
    void onSent(Call call, long now) {
        total.count(0, 1, now);
        Share share = shares.get(call.tenant());
        if (share != null) {
            share.count(0, 1, now);
            share.servedNanos = now;
        }
    }

    /** Counts a call that was sent from the queue. */
    void onDispatched(Call call, long now) {
        dispatches = isStarving(call.tenant(), now) ? 0 : Math.min(dispatches + 1, DISPATCHES_PER_TURN);
        onSent(call, now);
    }

    /** Returns the tenant, of those {@code waiting}, that may send a call out of turn; empty if it is no such turn. */
    Optional<String> tenantOutOfTurn(Supplier<Set<String>> waiting, long now) {
        if (dispatches < DISPATCHES_PER_TURN - 1) {
            return Optional.empty();
        }
        String neediest = null;
        double lowest = Double.MAX_VALUE;
        for (String tenant : waiting.get()) {
            Share share = shares.get(tenant);
            if (isStarving(share, now) && share.ratio() < lowest) {
                neediest = tenant;
                lowest = share.ratio();
            }
        }
        return Optional.ofNullable(neediest);
    }

    /** Returns whether {@code tenant} has lately been served far less often than all tenants. */
    boolean isStarving(String tenant, long now) {
        return isStarving(shares.get(tenant), now);
    }

    private boolean isStarving(@Nullable Share share, long now) {
        return share != null
                && (share.asked >= MANY_CALLS || now - share.servedNanos >= MIN_UNSERVED_NANOS)
                && share.ratio() < total.ratio() * STARVING_RATIO;
    }

    private void prune(long now) {
        if (now - prunedNanos < PRUNE_NANOS) {
            return;
        }
        prunedNanos = now;
        shares.values().removeIf(share -> {
            share.count(0, 0, now);
            return share.asked < NEGLIGIBLE_CALLS;
        });
    }
}
