package io.anvilpick.config;

import com.google.common.collect.ImmutableList;

/**
 * The small value that makes a version of the configuration visible as one.
 *
 * <p>Services are grouped into buckets by the hash of their name. The head names each bucket's content by its digest, a
 * bucket names each of its services by digest, so that a change of one service touches one service, one bucket and the
 * head.
 *
 * @param version rises by one with each accepted change
 * @param changeId random name of the change, by which a writer recognises its own after a lost answer
 * @param acceptedBy name of the operator who accepted it
 * @param acceptedAtMillis when it was accepted, in milliseconds since the Unix epoch
 * @param contract the contract in force
 * @param tenants customers that share the services
 * @param buckets digest of each bucket; empty text for a bucket without services
 */
public record Head(
        long version,
        String changeId,
        String acceptedBy,
        long acceptedAtMillis,
        Contract contract,
        ImmutableList<TenantConfig> tenants,
        ImmutableList<String> buckets) {}
