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
 * Answers callers who ask which address to use. Thread safe if its source of randomness is.
 *
 * <p>Callers of a service are sent to its homes, the daemons that rank highest for it, so that a home sees nearly all
 * calls of the service and knows how busy each target is without asking.
 */
public final class AddressSelector {
    private static final long LEAST_GOOD_FOR_MILLIS = 4_000;
    private static final long GOOD_FOR_SPREAD_MILLIS = 2_000;
    private static final int FALLBACKS = 2;

    private final MemberTable members;
    private final RandomGenerator random;

    /** Creates an advisor that chooses among {@code members}. */
    public AddressSelector(MemberTable members, RandomGenerator random) {
        this.members = members;
        this.random = random;
    }

    /**
     * Returns the address for a caller of {@code service} in {@code zone}; empty if no daemon is live.
     *
     * @param zone the caller's availability zone; empty text if it named none
     */
    public Optional<AddressAnswer> select(ServiceConfig service, String zone) {
        ImmutableList<Member> ranked = ranked(service.name());
        if (ranked.isEmpty()) {
            return Optional.empty();
        }
        List<Member> homes = ranked.subList(0, Math.min(service.homes(), ranked.size()));
        List<Member> near =
                homes.stream().filter(home -> home.zone().equals(zone)).toList();
        List<Member> choices = near.isEmpty() ? homes : near;
        Member chosen = choices.get(random.nextInt(choices.size()));
        List<String> fallbacks = new ArrayList<>();
        for (Member member : ranked) {
            if (!member.equals(chosen) && fallbacks.size() < FALLBACKS) {
                fallbacks.add(member.callAddress());
            }
        }
        long goodFor = LEAST_GOOD_FOR_MILLIS + random.nextLong(GOOD_FOR_SPREAD_MILLIS);
        return Optional.of(new AddressAnswer(chosen.callAddress(), ImmutableList.copyOf(fallbacks), goodFor));
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
