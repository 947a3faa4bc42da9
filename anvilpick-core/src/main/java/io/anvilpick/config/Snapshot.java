package io.anvilpick.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A whole version of the configuration together with the stored texts that make it up. Immutable.
 *
 * @param signed the head as stored
 * @param head the decoded head
 * @param configuration the decoded whole
 * @param buckets the decoded buckets, in order; empty where the head names none
 * @param parts text of every bucket and service by digest
 */
public record Snapshot(
        SignedHead signed,
        Head head,
        Configuration configuration,
        ImmutableList<Bucket> buckets,
        ImmutableMap<String, String> parts) {
    /** Number of buckets into which services are grouped. */
    public static final int BUCKETS = 64;

    /** Returns the bucket of the service called {@code name}. */
    public static int bucketOf(String name) {
        return Math.floorMod(ConfigurationCodec.digest(name).hashCode(), BUCKETS);
    }

    /** The parts of a configuration before a head binds them. */
    public record Parts(ImmutableList<String> buckets, ImmutableMap<String, String> texts) {}

    /** Returns the parts of {@code services}, in O(services). */
    public static Parts split(ConfigurationCodec codec, Map<String, ServiceConfig> services) {
        List<TreeMap<String, String>> grouped = new ArrayList<>();
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            grouped.add(new TreeMap<>());
        }
        Map<String, String> texts = new HashMap<>();
        services.forEach((name, service) -> {
            String text = codec.encode(service);
            String digest = ConfigurationCodec.digest(text);
            texts.put(digest, text);
            grouped.get(bucketOf(name)).put(name, digest);
        });
        List<String> buckets = new ArrayList<>(Collections.nCopies(BUCKETS, ""));
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            if (grouped.get(bucket).isEmpty()) {
                continue;
            }
            String text = codec.encode(new Bucket(ImmutableSortedMap.copyOf(grouped.get(bucket))));
            String digest = ConfigurationCodec.digest(text);
            texts.put(digest, text);
            buckets.set(bucket, digest);
        }
        return new Parts(ImmutableList.copyOf(buckets), ImmutableMap.copyOf(texts));
    }
}
