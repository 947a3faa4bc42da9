package io.anvilpick.dispatch;

/**
 * What a dispatcher knows of a target, for status pages.
 *
 * @param id the target
 * @param inFlight calls of this daemon in flight there
 * @param limit calls that may be in flight there
 * @param score slowness against siblings; one as usual
 * @param serving whether new calls may go there
 */
public record TargetView(String id, int inFlight, int limit, double score, boolean serving) {}
