package io.anvilpick.allowances;

import com.google.common.collect.ImmutableList;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.hash.Rendezvous;

/**
 * The daemons among which the grantors of each tenant are selected. Immutable.
 *
 * @param version increases with each change of the candidates
 * @param sinceNanos time of the last change of the candidates
 * @param daemons number of daemons that may exist, including those that do not grant yet
 */
record GrantorSelection(long version, long sinceNanos, ImmutableList<EntryMember> candidates, int daemons) {
    /** Maximum number of grantors of a tenant. The loss of one of five leaves 0.8 of an allowance. */
    static final int MAX_GRANTORS = 5;

    /** Returns the number of grantors of each tenant. */
    int grantorCount() {
        return Math.min(MAX_GRANTORS, candidates.size());
    }

    /** Returns the grantors of {@code tenant}, in O(n log n). */
    ImmutableList<EntryMember> grantorsOf(String tenant) {
        return Rendezvous.ranked(tenant, candidates, EntryMember::name).subList(0, grantorCount());
    }
}
