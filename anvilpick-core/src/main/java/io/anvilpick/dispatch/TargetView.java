package io.anvilpick.dispatch;

/**
 * The state of a target in a dispatcher, for status pages.
 *
 * @param id the target's id
 * @param inFlight the number of this daemon's calls in flight to the target
 * @param limit the maximum number of this daemon's calls in flight to the target
 * @param score the slowness compared with the other targets; one as usual, larger if slower
 * @param serving whether the target accepts new calls, disregarding the addresses that the platform lists as leaving
 */
public record TargetView(String id, int inFlight, int limit, double score, boolean serving) {}
