package io.anvilpick.standins.platform;

/**
 * How the stand-in misbehaves.
 *
 * @param down whether every call is refused
 * @param delayMillis milliseconds by which every answer is late
 * @param loseAnswersPercent percentage of writes whose answer is lost after they took effect
 * @param readsPerSecond reads that are taken each second, waiting watches among them; more are refused
 * @param writesPerSecond writes that are taken each second; more are refused
 */
record Faults(boolean down, long delayMillis, int loseAnswersPercent, int readsPerSecond, int writesPerSecond) {}
