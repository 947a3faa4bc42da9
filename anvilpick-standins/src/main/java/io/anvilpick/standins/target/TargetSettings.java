package io.anvilpick.standins.target;

/**
 * The settings of a target.
 *
 * @param id id of the target in its records
 * @param slots maximum number of calls processed at the same time
 * @param queue maximum number of calls that wait for a slot; further ones are refused
 * @param meanMillis mean service time of a read in milliseconds
 * @param writeMillis mean service time of any other call in milliseconds
 * @param coldMillis milliseconds after the creation of the target during which calls take five times as long
 * @param seed seed of all random numbers
 */
public record TargetSettings(
        String id, int slots, int queue, double meanMillis, double writeMillis, long coldMillis, long seed) {}
