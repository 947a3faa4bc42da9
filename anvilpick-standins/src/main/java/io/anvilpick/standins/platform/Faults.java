package io.anvilpick.standins.platform;

/**
 * The faults that the stand-in injects, and its rate limits.
 *
 * @param down whether every call is refused with status 503
 * @param delayMillis the delay of every answer in milliseconds, except that of a refusal
 * @param loseAnswersPercent percentage of writes of values whose answer is lost; the write itself is still processed
 * @param readsPerSecond the maximum number of reads per second, which include watches; further ones are refused
 * @param writesPerSecond the maximum number of writes per second, which include grants and renewals of leases; further
 *     ones are refused
 */
record Faults(boolean down, long delayMillis, int loseAnswersPercent, int readsPerSecond, int writesPerSecond) {}
