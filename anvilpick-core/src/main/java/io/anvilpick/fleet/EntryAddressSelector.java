package io.anvilpick.fleet;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Answers callers who ask which daemons to use. Thread safe.
 *
 * <p>Callers are sent to the daemons of their own availability zone, and where that has a single one, to one more, so that
 * the loss of a daemon leaves them another address.
 */
public final class EntryAddressSelector {
    private static final int LEAST_ADDRESSES = 2;
    private static final int MOST_ADDRESSES = 64;

    private final Supplier<FleetView> view;
    private final EntryMember self;

    /** Creates a book over what {@code view} returns; {@code self} is in it as long as it asks to be. */
    public EntryAddressSelector(Supplier<FleetView> view, EntryMember self) {
        this.view = view;
        this.self = self;
    }

    /** Returns addresses for a caller in {@code zone} of {@code region}, nearest first; empty if no daemon is known. */
    public ImmutableList<String> addressesFor(String region, String zone, boolean selfServes) {
        List<EntryMember> members = new ArrayList<>(view.get().members());
        members.removeIf(member -> member.name().equals(self.name()));
        if (selfServes) {
            members.add(self);
        }
        List<String> chosen = new ArrayList<>();
        add(chosen, members, member -> member.zone().equals(zone), MOST_ADDRESSES);
        add(chosen, members, member -> member.region().equals(region), LEAST_ADDRESSES);
        add(chosen, members, member -> true, LEAST_ADDRESSES);
        return ImmutableList.copyOf(chosen);
    }

    private static void add(List<String> chosen, List<EntryMember> members, Predicate<EntryMember> fits, int most) {
        for (EntryMember member : members) {
            if (chosen.size() >= most) {
                return;
            }
            if (fits.test(member) && !chosen.contains(member.callAddress())) {
                chosen.add(member.callAddress());
            }
        }
    }
}
