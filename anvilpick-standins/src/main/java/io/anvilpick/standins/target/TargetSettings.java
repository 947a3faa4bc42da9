package io.anvilpick.standins.target;

/**
 * How a target behaves.
 *
 * @param id name in records
 * @param slots calls worked on at a time
 * @param queue calls that may wait for a slot; more are shed
 * @param meanMillis mean time of a call of a read
 * @param writeMillis mean time of any other call
 * @param coldMillis milliseconds after the start during which calls take five times as long
 * @param seed seed of all chance
 */
public record TargetSettings(
        String id, int slots, int queue, double meanMillis, double writeMillis, long coldMillis, long seed) {}
