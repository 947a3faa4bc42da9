package io.anvilpick.membership;

import com.google.common.collect.ImmutableList;

/**
 * Which address a caller is to use for a service.
 *
 * @param address host and port of a daemon
 * @param fallbacks addresses to try in turn where the first does not answer
 * @param goodForMillis milliseconds for which the answer may be kept
 */
public record AddressAnswer(String address, ImmutableList<String> fallbacks, long goodForMillis) {}
