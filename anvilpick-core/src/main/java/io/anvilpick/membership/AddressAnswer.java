package io.anvilpick.membership;

import com.google.common.collect.ImmutableList;

/**
 * The address that a caller uses for a service.
 *
 * @param address host and port of a daemon
 * @param fallbacks addresses to try in order if {@code address} does not answer
 * @param goodForMillis time for which a caller may cache the answer, in milliseconds
 */
public record AddressAnswer(String address, ImmutableList<String> fallbacks, long goodForMillis) {}
