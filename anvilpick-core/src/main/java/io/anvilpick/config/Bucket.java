package io.anvilpick.config;

import com.google.common.collect.ImmutableSortedMap;

/**
 * A group of services, each identified by the digest of its stored text.
 *
 * @param digests digests by service name
 */
public record Bucket(ImmutableSortedMap<String, String> digests) {
    /** A bucket without services. */
    public static final Bucket EMPTY = new Bucket(ImmutableSortedMap.of());
}
