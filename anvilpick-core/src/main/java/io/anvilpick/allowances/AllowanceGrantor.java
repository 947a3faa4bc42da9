package io.anvilpick.allowances;

import io.anvilpick.fleet.EntryMember;
import io.anvilpick.messages.AllowanceRequest;
import io.anvilpick.messages.PeerReply;
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
import java.util.function.Supplier;

/**
 * Grants tokens of the tenants whose grantor this daemon is. Thread safe, in shards by tenant. Made for some thousand requests a
 * second and 10,000 tenants.
 *
 * <p>Bound: the tenants in force, those that the last version removed, and those used within {@link #TENANT_KEPT}. Removal: see
 * {@link #retain}. Nothing has to survive the process: a daemon that starts grants nothing until its start is settled.
 */
public final class AllowanceGrantor {
    private static final int SHARDS = 16;

    /**
     * Tokens that a small bucket holds beyond its part of the burst, and the capacity up to which it does. A bucket of one token is
     * full, and loses what its rate adds, whenever the next request comes a little late.
     */
    private static final double EXTRA_CAPACITY = 2;

    private static final double SMALL_CAPACITY = 3;

    /** Time of the rate that a bucket holds at least. Holders return to an empty grantor after a little less. */
    private static final double MIN_CAPACITY_SECONDS = 0.05;

    /** Time without use after which a removed tenant is forgotten. Its bucket would be full again by then. */
    static final Duration TENANT_KEPT = Duration.ofMinutes(1);

    private final TimeSource time;
    private final String self;
    private final GrantorMembers members;
    private final Supplier<TenantTable> tenants;
    private final Shards<Map<String, GrantorState>> shards = Shards.create(SHARDS, HashMap::new);

    private static final class GrantorState {
        private final TokenBucket bucket;
        private long version = -1;
        private boolean isGrantor;
        private int grantorCount;
        private double rateFactor;
        private Optional<Allowance> allowance = Optional.empty();
        private Deadline keptUntil;

        private GrantorState(long nowNanos) {
            this.bucket = new TokenBucket(nowNanos);
            this.keptUntil = new Deadline(nowNanos);
        }
    }

    /**
     * Creates a grantor without tokens.
     *
     * @param self name of this daemon
     * @param tenants the tenants of the configuration in force
     */
    public AllowanceGrantor(TimeSource time, String self, GrantorMembers members, Supplier<TenantTable> tenants) {
        this.time = time;
        this.self = self;
        this.members = members;
        this.tenants = tenants;
    }

    /** Returns the tokens for {@code request}, or that this daemon does not grant them. Does not block. */
    public PeerReply grant(AllowanceRequest request) {
        if (!members.mayGrant()) {
            return new PeerReply.NotGrantor(roundedUp(members.settlesAfter()));
        }
        String tenant = request.tenant();
        Optional<Allowance> allowance = tenants.get().named(tenant).flatMap(Tenant::allowance);
        if (allowance.isEmpty()) {
            shards.withShardOf(tenant, shard -> shard.remove(tenant));
            return new PeerReply.NotGrantor(Duration.ZERO);
        }
        GrantorSelection selection = members.forGrantor();
        long grantFromNanos = members.grantFromNanos();
        return shards.withShardOf(tenant, shard -> {
            GrantorState state = shard.computeIfAbsent(tenant, name -> new GrantorState(grantFromNanos));
            state.keptUntil = Deadline.after(time, TENANT_KEPT);
            update(state, tenant, selection, allowance, grantFromNanos);
            return grant(state, request.wanted());
        });
    }

    /** Removes the buckets of tenants that {@code inForce} lacks and that have not been used for {@link #TENANT_KEPT}. */
    public void retain(TenantTable inForce) {
        shards.forEach(shard -> shard.entrySet()
                .removeIf(entry -> inForce.named(entry.getKey()).isEmpty()
                        && entry.getValue().keptUntil.hasPassed(time)));
    }

    private PeerReply grant(GrantorState state, int wanted) {
        if (!state.isGrantor) {
            return new PeerReply.NotGrantor(Duration.ZERO);
        }
        long now = time.nanos();
        int granted = state.bucket.take(wanted, now);
        return new PeerReply.AllowanceGrant(granted, state.bucket.untilNextToken(now));
    }

    private void update(
            GrantorState state,
            String tenant,
            GrantorSelection selection,
            Optional<Allowance> allowance,
            long grantFromNanos) {
        state.bucket.skipTo(grantFromNanos);
        if (state.version != selection.version()) {
            boolean wasGrantorUntilNow = state.isGrantor && state.version + 1 == selection.version();
            state.version = selection.version();
            state.isGrantor =
                    selection.grantorsOf(tenant).stream().map(EntryMember::name).anyMatch(self::equals);
            if (!wasGrantorUntilNow) {
                // The time in which another daemon may have granted instead of this one adds no tokens.
                state.bucket.skipTo(selection.sinceNanos());
            }
        }
        int grantorCount = selection.grantorCount();
        double rateFactor = members.rateFactor();
        if (state.grantorCount != grantorCount
                || state.rateFactor != rateFactor
                || !state.allowance.equals(allowance)) {
            state.grantorCount = grantorCount;
            state.rateFactor = rateFactor;
            state.allowance = allowance;
            allowance.ifPresent(each -> configure(state, each));
        }
    }

    private void configure(GrantorState state, Allowance allowance) {
        double rate = allowance.ratePerSecond() / state.grantorCount * state.rateFactor;
        double burst = allowance.burst() / state.grantorCount;
        double small = Math.min(burst + EXTRA_CAPACITY, SMALL_CAPACITY);
        double capacity = Math.max(Math.max(burst, small), rate * MIN_CAPACITY_SECONDS);
        state.bucket.configure(rate, capacity, time.nanos());
    }

    private static Duration roundedUp(Duration duration) {
        return duration.isZero() ? duration : Duration.ofMillis(duration.toMillis() + 1);
    }
}
