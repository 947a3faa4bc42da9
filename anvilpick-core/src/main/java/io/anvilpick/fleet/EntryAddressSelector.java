package io.anvilpick.fleet;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Selects the daemons that callers connect to. Thread safe.
 *
 * <p>A caller gets the daemons of its own availability zone. If that zone has fewer than two, daemons of the region and then of
 * other regions are added, because a caller needs a second address when it loses a daemon.
 */
public final class EntryAddressSelector {
    private static final int MIN_ADDRESSES = 2;
    private static final int MAX_ADDRESSES = 64;

    private final Supplier<FleetView> view;
    private final EntryMember self;

    /** Creates a selector among the members of {@code view} and the daemon {@code self}. */
    public EntryAddressSelector(Supplier<FleetView> view, EntryMember self) {
        this.view = view;
        this.self = self;
    }

    /**
     * Returns addresses for a caller in {@code zone} of {@code region}, nearest first; empty if no known daemon accepts callers.
     *
     * @param includeSelf whether this daemon accepts callers, whatever its registration says
     */
    public ImmutableList<String> addressesFor(String region, String zone, boolean includeSelf) {
        List<EntryMember> members = new ArrayList<>(view.get().members());
        members.removeIf(member -> member.name().equals(self.name()));
        if (includeSelf) {
            members.add(self);
        }
        List<String> chosen = new ArrayList<>();
        addMatching(chosen, members, member -> member.zone().equals(zone), MAX_ADDRESSES);
        addMatching(chosen, members, member -> member.region().equals(region), MIN_ADDRESSES);
        addMatching(chosen, members, member -> true, MIN_ADDRESSES);
        return ImmutableList.copyOf(chosen);
    }

    private static void addMatching(
            List<String> chosen, List<EntryMember> members, Predicate<EntryMember> filter, int maxAddresses) {
        for (EntryMember member : members) {
            if (chosen.size() >= maxAddresses) {
                return;
            }
            if (filter.test(member) && !chosen.contains(member.callAddress())) {
                chosen.add(member.callAddress());
            }
        }
    }
}
