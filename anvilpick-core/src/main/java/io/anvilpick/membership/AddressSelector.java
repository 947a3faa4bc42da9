package io.anvilpick.membership;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.hash.Rendezvous;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Selects the daemon address that a caller uses for a service. Thread safe if its source of randomness is.
 *
 * <p>Callers of a service use its homes, which are the daemons that rank highest for it. A single home receives nearly
 * all calls of the service and can therefore track the load of each target without querying it. If there are several
 * homes, each receives a share of the calls.
 */
public final class AddressSelector {
    private static final long MIN_GOOD_FOR_MILLIS = 4_000;
    private static final long GOOD_FOR_JITTER_MILLIS = 2_000;
    private static final int FALLBACKS = 2;

    private final MemberTable members;
    private final RandomGenerator random;

    /** Creates a selector that chooses among the live members of {@code members}. */
    public AddressSelector(MemberTable members, RandomGenerator random) {
        this.members = members;
        this.random = random;
    }

    /**
     * Returns the address for a caller of {@code service}; empty if no daemon is live.
     *
     * <p>A home in the caller's zone is preferred.
     *
     * @param zone the caller's availability zone; an empty string if it sent none
     */
    public Optional<AddressAnswer> select(ServiceConfig service, String zone) {
        ImmutableList<Member> ranked = ranked(service.name());
        if (ranked.isEmpty()) {
            return Optional.empty();
        }
        List<Member> homes = ranked.subList(0, Math.min(service.homes(), ranked.size()));
        List<Member> sameZone =
                homes.stream().filter(home -> home.zone().equals(zone)).toList();
        List<Member> candidates = sameZone.isEmpty() ? homes : sameZone;
        Member selected = candidates.get(random.nextInt(candidates.size()));
        List<String> fallbacks = new ArrayList<>();
        for (Member member : ranked) {
            if (!member.equals(selected) && fallbacks.size() < FALLBACKS) {
                fallbacks.add(member.callAddress());
            }
        }
        long goodFor = MIN_GOOD_FOR_MILLIS + random.nextLong(GOOD_FOR_JITTER_MILLIS);
        return Optional.of(new AddressAnswer(selected.callAddress(), ImmutableList.copyOf(fallbacks), goodFor));
    }

    /** Returns whether this daemon is one of the homes of {@code service}. */
    public boolean isHome(ServiceConfig service) {
        ImmutableList<Member> ranked = ranked(service.name());
        Optional<Member> own = members.self();
        int index = own.isEmpty() ? -1 : ranked.indexOf(own.get());
        return index >= 0 && index < service.homes();
    }

    private ImmutableList<Member> ranked(String service) {
        ImmutableList<Member> live = members.withLiveness(Set.of(Liveness.LIVE));
        return Rendezvous.ranked("service " + service, live, Member::instance);
    }
}
