package io.anvilpick.config;

import com.google.common.collect.ImmutableList;

/**
 * The small record that makes a version of the configuration visible atomically.
 *
 * <p>Services are grouped into buckets by the hash of their name. The head holds the digest of each bucket, and a
 * bucket holds the digest of each of its services. A change of one service therefore rewrites only that service, its
 * bucket and the head.
 *
 * @param version number that rises by one with each accepted change
 * @param changeId random identifier by which a writer recognizes its own change after a lost answer
 * @param acceptedBy name of the operator that accepted the version
 * @param acceptedAtMillis time of acceptance, in milliseconds since the Unix epoch
 * @param contract contract in force
 * @param tenants tenants that share the services
 * @param buckets digest of each bucket, or the empty string for a bucket without services
 */
public record Head(
        long version,
        String changeId,
        String acceptedBy,
        long acceptedAtMillis,
        Contract contract,
        ImmutableList<TenantConfig> tenants,
        ImmutableList<String> buckets) {}
