package io.anvilpick.load.capacity;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import io.anvilpick.claims.Claim;
import io.anvilpick.claims.ClaimGroup;
import io.anvilpick.claims.ClaimKey;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.ClaimState;
import io.anvilpick.claims.ClaimTable;
import io.anvilpick.config.Configuration;
import io.anvilpick.config.ConfigurationCodec;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.config.Contract;
import io.anvilpick.config.Operator;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.Signatures;
import io.anvilpick.config.Snapshot;
import io.anvilpick.config.SnapshotAssembler;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.config.TenantConfig;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.membership.Member;
import io.anvilpick.membership.MemberTable;
import io.anvilpick.time.TimeSource;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Creates state of a given size, as a daemon holds it. */
final class SampleState {
    static final int TARGETS_PER_SERVICE = 11;
    static final Signatures.Keys KEYS = Signatures.newKeys();

    private static final long YEAR_2100_MILLIS = 4_102_444_800_000L;
    private static final long HOUR_MILLIS = 3_600_000;
    private static final int FIRST_PORT = 10_000;

    private SampleState() {}

    static Contract contract() {
        return new Contract(new Operator("bench", KEYS.publicKey()), "term", 1, YEAR_2100_MILLIS, Optional.empty());
    }

    /**
     * Returns a configuration with {@code services} services. The service with the index {@code change % services} has
     * target addresses that depend on {@code change}. All other services are always the same.
     */
    static Configuration configuration(int services, int change) {
        ImmutableSortedMap.Builder<String, ServiceConfig> built = ImmutableSortedMap.naturalOrder();
        for (int i = 0; i < services; i++) {
            String name = "service-" + i;
            built.put(name, service(name, TARGETS_PER_SERVICE, i == change % services ? change : 0));
        }
        return new Configuration(contract(), ImmutableList.of(new TenantConfig("a", 1)), built.build());
    }

    static ServiceConfig service(String name, int targets, int change) {
        ImmutableList.Builder<TargetConfig> configs = ImmutableList.builder();
        for (int i = 0; i < targets; i++) {
            String host = "10." + i % 200 + "." + Math.floorMod(name.hashCode(), 250) + "." + (change % 250 + 1);
            configs.add(new TargetConfig(name + "-" + i, host, FIRST_PORT + i, "region-zone-" + i % 3, false));
        }
        return ServiceConfig.builder(name)
                .requests(List.of(
                        new RequestConfig("lookup", "GET", "/rows", true, false, 400, 0),
                        new RequestConfig("charge", "POST", "/charges", false, true, 3_000, 0)))
                .targets(configs.build())
                .build();
    }

    /** Returns a complete snapshot of a configuration with {@code services} services. */
    static Snapshot snapshot(int services, long version) throws ConfigurationException {
        return new SnapshotAssembler(new ConfigurationCodec())
                .sign(configuration(services, (int) version), version, "change", KEYS.privateKey());
    }

    static Member member(int number) {
        return new Member(
                "10.0." + number / 250 + "." + number % 250 + ":8080#" + Integer.toHexString(number * 7919),
                "10.0." + number / 250 + "." + number % 250 + ":8080",
                "10.0." + number / 250 + "." + number % 250 + ":7080",
                "region-1",
                "region-1-zone-" + number % 3,
                false,
                1);
    }

    static MemberTable members(int count) {
        MemberTable table = new MemberTable(member(0), TimeSource.system());
        for (int i = 1; i < count; i++) {
            table.merge(member(i));
        }
        return table;
    }

    /** Returns a replica's table with {@code count} claims, each in the state of a settled charge without a stored answer. */
    static ClaimTable claims(int count) {
        ClaimTable table = emptyClaims();
        long forgetAt = TimeSource.system().epochMillis() + HOUR_MILLIS;
        for (int i = 0; i < count; i++) {
            Claim claim = claim(i, forgetAt);
            int group = claim.key().groupOf(ClaimMap.GROUP_COUNT);
            table.vote(group, 1, claim);
            table.settle(group, claim.key(), claim.holder(), new ClaimState.Done(Optional.empty()));
        }
        return table;
    }

    static ClaimTable emptyClaims() {
        ClaimTable table = new ClaimTable("me", ClaimMap.GROUP_COUNT, TimeSource.system());
        ImmutableList.Builder<ClaimGroup> groups = ImmutableList.builder();
        for (int i = 0; i < ClaimMap.GROUP_COUNT; i++) {
            table.install(i, 1, "change", ImmutableList.of());
            groups.add(new ClaimGroup(i, 1, "change", 0, ImmutableList.of("me")));
        }
        table.apply(new ClaimMap(1, groups.build()));
        return table;
    }

    /** Returns a claim with newly created strings, as decoding a message creates them. */
    static Claim claim(int number, long forgetAtMillis) {
        String key = "%08x-0000-7000-8000-%012x".formatted(number, number);
        ClaimKey claimKey = new ClaimKey("service-" + number % 10, "tenant-" + number % 3, key);
        String holder = "%016x%016x".formatted(number * 31L, number * 17L);
        String fingerprint = "%032x".formatted(number * 13L);
        return new Claim(claimKey, holder, fingerprint, new ClaimState.Running(), 0, forgetAtMillis);
    }

    static Dispatcher dispatcher(int targets) {
        Dispatcher dispatcher = Dispatcher.builder()
                .time(TimeSource.system())
                .random(new SplittableRandom(1))
                .build();
        ServiceConfig service = service("service", targets, 0);
        dispatcher.configure(
                service,
                new Configuration(contract(), ImmutableList.of(), ImmutableSortedMap.of(service.name(), service)));
        return dispatcher;
    }
}
