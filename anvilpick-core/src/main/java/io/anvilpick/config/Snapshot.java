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
 * A complete version of the configuration with the stored texts that it consists of. Immutable.
 *
 * @param signed head as stored
 * @param head decoded head
 * @param configuration decoded configuration
 * @param buckets decoded buckets in the order of the head, {@link Bucket#EMPTY} where the head names none
 * @param parts text of every bucket and service, by digest
 */
public record Snapshot(
        SignedHead signed,
        Head head,
        Configuration configuration,
        ImmutableList<Bucket> buckets,
        ImmutableMap<String, String> parts) {
    /** Number of buckets into which services are grouped. */
    public static final int BUCKET_COUNT = 64;

    /** Returns the index of the bucket that holds the service named {@code name}. */
    public static int bucketOf(String name) {
        return Math.floorMod(ConfigurationCodec.digest(name).hashCode(), BUCKET_COUNT);
    }

    /**
     * The encoded parts of a configuration for which no head has been created yet.
     *
     * @param buckets digest of each bucket, or the empty string for a bucket without services
     * @param texts text of every bucket and service, by digest
     */
    public record Parts(ImmutableList<String> buckets, ImmutableMap<String, String> texts) {}

    /** Encodes {@code services} and returns their parts, in O(services). */
    public static Parts split(ConfigurationCodec codec, Map<String, ServiceConfig> services) {
        List<TreeMap<String, String>> digestsByBucket = new ArrayList<>();
        for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            digestsByBucket.add(new TreeMap<>());
        }
        Map<String, String> texts = new HashMap<>();
        services.forEach((name, service) -> {
            String text = codec.encode(service);
            String digest = ConfigurationCodec.digest(text);
            texts.put(digest, text);
            digestsByBucket.get(bucketOf(name)).put(name, digest);
        });
        List<String> buckets = new ArrayList<>(Collections.nCopies(BUCKET_COUNT, ""));
        for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            if (digestsByBucket.get(bucket).isEmpty()) {
                continue;
            }
            String text = codec.encode(new Bucket(ImmutableSortedMap.copyOf(digestsByBucket.get(bucket))));
            String digest = ConfigurationCodec.digest(text);
            texts.put(digest, text);
            buckets.set(bucket, digest);
        }
        return new Parts(ImmutableList.copyOf(buckets), ImmutableMap.copyOf(texts));
    }
}
