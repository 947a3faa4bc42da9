package io.anvilpick.claims;

import com.google.common.collect.ImmutableList;
import io.anvilpick.hash.Rendezvous;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Chooses the replicas of a group. All methods are pure functions.
 *
 * <p>Replicas are spread over as many availability zones as possible. Subject to that, present replicas are preferred.
 */
public final class ReplicaPlacement {
    /** Number of replicas of a group if there are enough daemons. The group keeps working when two of them are lost. */
    public static final int REPLICAS = 5;

    private ReplicaPlacement() {}

    /**
     * Returns the replicas for group {@code index}.
     *
     * @param present instance IDs of the replicas of the last epoch
     * @param candidates daemons that are live and not leaving
     */
    public static ImmutableList<String> choose(
            int index, Collection<String> present, Collection<ReplicaCandidate> candidates) {
        int count = oddAtMost(Math.min(REPLICAS, candidates.size()));
        List<ReplicaCandidate> ranked =
                new ArrayList<>(Rendezvous.ranked("group " + index, candidates, ReplicaCandidate::instance));
        ranked.sort((a, b) -> Boolean.compare(present.contains(b.instance()), present.contains(a.instance())));
        Set<String> chosen = new LinkedHashSet<>();
        Map<String, Integer> perZone = new HashMap<>();
        for (int maxPerZone = 1; chosen.size() < count; maxPerZone++) {
            for (ReplicaCandidate candidate : ranked) {
                if (chosen.size() == count) {
                    break;
                }
                boolean zoneFull = perZone.getOrDefault(candidate.zone(), 0) >= maxPerZone;
                if (zoneFull || chosen.contains(candidate.instance())) {
                    continue;
                }
                chosen.add(candidate.instance());
                perZone.merge(candidate.zone(), 1, Integer::sum);
            }
        }
        return ImmutableList.copyOf(chosen);
    }

    /**
     * Returns the largest odd number up to {@code number}, or zero. An even group tolerates no more losses than the odd
     * one below it.
     */
    private static int oddAtMost(int number) {
        return number == 0 ? 0 : number - (number + 1) % 2;
    }
}
