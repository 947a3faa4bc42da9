package io.anvilpick.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.util.List;
import java.util.Optional;

/** Sample configurations for tests. */
public final class Samples {
    /** Keys of the operator that holds the first contract. */
    public static final Signatures.Keys FIRST = Signatures.newKeys();

    /** Keys of the operator that the first contract names as next. */
    public static final Signatures.Keys SECOND = Signatures.newKeys();

    /** End of the term of the first contract, in milliseconds since the Unix epoch. */
    public static final long TERM_END = 1_000_000;

    private Samples() {}

    /** Returns the contract of the first operator. */
    public static Contract firstContract() {
        return new Contract(
                new Operator("first", FIRST.publicKey()),
                "term one",
                1,
                TERM_END,
                Optional.of(new Operator("second", SECOND.publicKey())));
    }

    /** Returns the contract of the second operator, in {@code epoch}. */
    public static Contract secondContract(long epoch) {
        return new Contract(
                new Operator("second", SECOND.publicKey()), "term two", epoch, 10 * TERM_END, Optional.empty());
    }

    /** Returns a configuration with {@code services} services; the target of the first one listens on {@code port}. */
    public static Configuration configuration(Contract contract, int services, int port) {
        ImmutableSortedMap.Builder<String, ServiceConfig> built = ImmutableSortedMap.naturalOrder();
        for (int i = 0; i < services; i++) {
            String name = "service-" + i;
            built.put(
                    name,
                    ServiceConfig.builder(name)
                            .requests(List.of(new RequestConfig("lookup", "GET", "/", true, false, 1_000, 0)))
                            .targets(List.of(new TargetConfig("t", "10.0.0.1", i == 0 ? port : 80, "zone", false)))
                            .build());
        }
        return new Configuration(contract, ImmutableList.of(new TenantConfig("a", 1)), built.build());
    }

    /** Returns a signed snapshot of {@code configuration} as {@code version}. */
    public static Snapshot snapshot(Configuration configuration, long version, long atMillis, Signatures.Keys keys)
            throws ConfigurationException {
        ConfigurationCodec codec = new ConfigurationCodec();
        Snapshot.Parts parts = Snapshot.split(codec, configuration.services());
        Head head = new Head(
                version,
                "change" + version,
                configuration.contract().operator().name(),
                atMillis,
                configuration.contract(),
                configuration.tenants(),
                parts.buckets());
        String text = codec.encode(head);
        SignedHead signed = new SignedHead(text, Signatures.sign(keys.privateKey(), text));
        return new SnapshotAssembler(codec).assemble(signed, null, digests -> parts.texts());
    }
}
