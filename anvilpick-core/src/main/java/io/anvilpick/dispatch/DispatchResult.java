package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableList;

/**
 * Waiting calls whose time has come.
 *
 * @param assigned calls that go to a target now
 * @param expired calls that can no longer be answered in time and have not run
 */
public record DispatchResult(ImmutableList<Assignment> assigned, ImmutableList<Call> expired) {}
