package io.anvilpick.standins.platform;

/**
 * The faults that the stand-in injects, and its rate limits.
 *
 * @param down whether every call is refused with status 503
 * @param delayMillis the delay of every answer in milliseconds
 * @param loseAnswersPercent percentage of writes that take effect but whose answer is lost
 * @param readsPerSecond the maximum number of reads per second, which includes watches; further ones are refused
 * @param writesPerSecond the maximum number of writes per second; further ones are refused
 */
record Faults(boolean down, long delayMillis, int loseAnswersPercent, int readsPerSecond, int writesPerSecond) {}
