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

/** Chooses the replicas of a group: those that remain stay, the rest is spread over availability zones. Pure. */
public final class ReplicaPlacement {
    /** Replicas of a group where there are daemons enough; two may be lost without stopping the group. */
    public static final int REPLICAS = 5;

    private ReplicaPlacement() {}

    /**
     * Returns the replicas for group {@code index}.
     *
     * @param present replicas of the last epoch
     * @param candidates daemons that are live and not leaving
     */
    public static ImmutableList<String> choose(
            int index, Collection<String> present, Collection<ReplicaCandidate> candidates) {
        int wanted = oddAtMost(Math.min(REPLICAS, candidates.size()));
        List<ReplicaCandidate> ranked =
                new ArrayList<>(Rendezvous.ranked("group " + index, candidates, ReplicaCandidate::instance));
        ranked.sort((a, b) -> Boolean.compare(present.contains(b.instance()), present.contains(a.instance())));
        Set<String> chosen = new LinkedHashSet<>();
        Map<String, Integer> perZone = new HashMap<>();
        for (int allowed = 1; chosen.size() < wanted; allowed++) {
            for (ReplicaCandidate candidate : ranked) {
                if (chosen.size() == wanted) {
                    break;
                }
                boolean zoneFull = perZone.getOrDefault(candidate.zone(), 0) >= allowed;
                if (zoneFull || chosen.contains(candidate.instance())) {
                    continue;
                }
                chosen.add(candidate.instance());
                perZone.merge(candidate.zone(), 1, Integer::sum);
            }
        }
        return ImmutableList.copyOf(chosen);
    }

    /** An even number of replicas bears no more losses than the odd one below it. */
    private static int oddAtMost(int number) {
        return number == 0 ? 0 : number - (number + 1) % 2;
    }
}
