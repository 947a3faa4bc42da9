package io.anvilpick.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Assembles a version of the configuration from its head. Fetches only the parts that the previous version lacks.
 * Thread safe.
 */
public final class SnapshotAssembler {
    private final ConfigurationCodec codec;

    /** Creates an assembler that decodes with {@code codec}. */
    public SnapshotAssembler(ConfigurationCodec codec) {
        this.codec = codec;
    }

    /**
     * Returns the version that {@code signed} describes. Decodes only what has changed since {@code previous}. Does not
     * verify the signature, which {@link SuccessionRules} does.
     *
     * @param previous a version whose parts are reused, or null
     * @param source source of the parts that {@code previous} lacks
     * @throws ConfigurationException if the head cannot be used, the source cannot be reached, or a part is missing,
     *     damaged or does not match the head
     */
    public Snapshot assemble(SignedHead signed, @Nullable Snapshot previous, PartSource source)
            throws ConfigurationException {
        Head head = codec.decode("head", signed.head(), Head.class);
        checkHead(head);
        Map<String, String> parts = new HashMap<>();
        ImmutableMap<String, String> reusable = previous == null ? ImmutableMap.of() : previous.parts();
        collectParts(bucketDigests(head), reusable, source, parts);
        ImmutableList<Bucket> buckets = decodeBuckets(head, parts, previous);
        Set<String> serviceDigests = new HashSet<>();
        for (Bucket bucket : buckets) {
            serviceDigests.addAll(bucket.digests().values());
        }
        collectParts(serviceDigests, reusable, source, parts);
        ImmutableSortedMap<String, ServiceConfig> services = decodeServices(buckets, parts, previous);
        Configuration configuration = new Configuration(head.contract(), head.tenants(), services);
        return new Snapshot(signed, head, configuration, buckets, ImmutableMap.copyOf(parts));
    }

    /**
     * Returns {@code configuration} as a complete version signed with {@code privateKey}, without storing it.
     *
     * <p>The time of acceptance is {@code version} milliseconds after the Unix epoch.
     *
     * @param changeId identifier of the change
     * @param privateKey the operator's private key, in Base64
     * @throws ConfigurationException if the private key cannot be used
     */
    public Snapshot sign(Configuration configuration, long version, String changeId, String privateKey)
            throws ConfigurationException {
        Snapshot.Parts parts = Snapshot.split(codec, configuration.services());
        Head head = new Head(
                version,
                changeId,
                configuration.contract().operator().name(),
                version,
                configuration.contract(),
                configuration.tenants(),
                parts.buckets());
        String text = codec.encode(head);
        SignedHead signed = new SignedHead(text, Signatures.sign(privateKey, text));
        return assemble(signed, null, digests -> parts.texts());
    }

    private ImmutableList<Bucket> decodeBuckets(Head head, Map<String, String> parts, @Nullable Snapshot previous)
            throws ConfigurationException {
        ImmutableList.Builder<Bucket> buckets = ImmutableList.builder();
        for (int index = 0; index < head.buckets().size(); index++) {
            String digest = head.buckets().get(index);
            if (digest.isEmpty()) {
                buckets.add(Bucket.EMPTY);
                continue;
            }
            if (previous != null && previous.head().buckets().get(index).equals(digest)) {
                buckets.add(previous.buckets().get(index));
                continue;
            }
            buckets.add(codec.decode("bucket " + digest, requirePart(parts, digest), Bucket.class));
        }
        return buckets.build();
    }

    private static void checkHead(Head head) throws ConfigurationException {
        if (head.version() <= 0) {
            throw new ConfigurationException("head: version must be positive: " + head.version());
        }
        if (head.buckets().size() != Snapshot.BUCKET_COUNT) {
            throw new ConfigurationException("head: number of buckets must be " + Snapshot.BUCKET_COUNT + ": "
                    + head.buckets().size());
        }
    }

    private static Set<String> bucketDigests(Head head) {
        Set<String> digests = new HashSet<>(head.buckets());
        digests.remove("");
        return digests;
    }

    private static void collectParts(
            Set<String> digests, ImmutableMap<String, String> reusable, PartSource source, Map<String, String> parts)
            throws ConfigurationException {
        Set<String> missing = new HashSet<>();
        for (String digest : digests) {
            String text = reusable.get(digest);
            if (text == null) {
                missing.add(digest);
                continue;
            }
            parts.put(digest, text);
        }
        if (missing.isEmpty()) {
            return;
        }
        for (Map.Entry<String, String> fetched : source.fetch(missing).entrySet()) {
            if (!ConfigurationCodec.digest(fetched.getValue()).equals(fetched.getKey())) {
                throw new ConfigurationException("part " + fetched.getKey() + ": text does not match its digest");
            }
            parts.put(fetched.getKey(), fetched.getValue());
        }
        missing.removeAll(parts.keySet());
        if (!missing.isEmpty()) {
            throw new ConfigurationException(
                    "part " + missing.iterator().next() + ": missing, with " + (missing.size() - 1) + " more");
        }
    }

    private ImmutableSortedMap<String, ServiceConfig> decodeServices(
            ImmutableList<Bucket> buckets, Map<String, String> parts, @Nullable Snapshot previous)
            throws ConfigurationException {
        ImmutableSortedMap.Builder<String, ServiceConfig> services = ImmutableSortedMap.naturalOrder();
        for (Bucket bucket : buckets) {
            for (Map.Entry<String, String> entry : bucket.digests().entrySet()) {
                services.put(entry.getKey(), decodeService(entry.getKey(), entry.getValue(), parts, previous));
            }
        }
        return services.build();
    }

    private ServiceConfig decodeService(
            String name, String digest, Map<String, String> parts, @Nullable Snapshot previous)
            throws ConfigurationException {
        if (previous != null) {
            Bucket bucket = previous.buckets().get(Snapshot.bucketOf(name));
            ServiceConfig unchanged = previous.configuration().services().get(name);
            if (unchanged != null && digest.equals(bucket.digests().get(name))) {
                return unchanged;
            }
        }
        ServiceConfig service = codec.decode("service " + name, requirePart(parts, digest), ServiceConfig.class);
        if (!service.name().equals(name)) {
            throw new ConfigurationException("service " + name + ": stored under the name " + service.name());
        }
        return service;
    }

    private static String requirePart(Map<String, String> parts, String digest) throws ConfigurationException {
        String text = parts.get(digest);
        if (text == null) {
            throw new ConfigurationException("part " + digest + ": missing");
        }
        return text;
    }
}
