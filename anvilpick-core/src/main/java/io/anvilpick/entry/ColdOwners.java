package io.anvilpick.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multimaps;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.RegisteredTarget;
import io.anvilpick.hash.Rendezvous;

/**
 * Determines which daemon owns a target, that is, sends calls to it while it is cold: the one that ranks highest for the target
 * among the members of its zone, or among all members if its zone has none.
 */
final class ColdOwners {
    private final ImmutableList<EntryMember> members;
    private final ImmutableListMultimap<String, EntryMember> byZone;

    ColdOwners(ImmutableList<EntryMember> members) {
        this.members = members;
        this.byZone = Multimaps.index(members, EntryMember::zone);
    }

    /** Returns the ids of those of {@code targets} that the member {@code name} owns. */
    ImmutableSet<String> ownedBy(String name, ImmutableList<RegisteredTarget> targets) {
        ImmutableSet.Builder<String> owned = ImmutableSet.builder();
        for (RegisteredTarget target : targets) {
            if (isOwner(name, target)) {
                owned.add(target.id());
            }
        }
        return owned.build();
    }

    private boolean isOwner(String name, RegisteredTarget target) {
        ImmutableList<EntryMember> near = byZone.get(target.config().zone());
        ImmutableList<EntryMember> candidates = near.isEmpty() ? members : near;
        ImmutableList<EntryMember> ranked = Rendezvous.ranked(target.id(), candidates, EntryMember::name);
        return !ranked.isEmpty() && ranked.getFirst().name().equals(name);
    }
}
