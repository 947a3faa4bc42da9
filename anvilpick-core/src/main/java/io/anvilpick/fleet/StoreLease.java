package io.anvilpick.fleet;

/**
 * A lease of the store. It does not outlast the era in which it was granted, after which its number may denote another lease.
 *
 * @param era era of the store in which the lease was granted
 * @param number the store's number of the lease
 */
public record StoreLease(long era, long number) {}
