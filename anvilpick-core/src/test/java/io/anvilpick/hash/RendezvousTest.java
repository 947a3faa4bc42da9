package io.anvilpick.hash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RendezvousTest {
    private static final List<String> NODES = List.of("a", "b", "c", "d", "e", "f");

    @Property(tries = 200, seed = "6")
    void rankingIgnoresTheOrderOfTheCandidates(@ForAll String subject) {
        List<String> reversed = new ArrayList<>(NODES).reversed();
        assertEquals(
                Rendezvous.ranked(subject, NODES, node -> node), Rendezvous.ranked(subject, reversed, node -> node));
    }

    @Test
    void subjectsAreSpreadEvenlyOverCandidates() {
        Map<String, Integer> firsts = new HashMap<>();
        for (int i = 0; i < 6_000; i++) {
            firsts.merge(Rendezvous.ranked("subject " + i, NODES, node -> node).get(0), 1, Integer::sum);
        }
        firsts.values().forEach(count -> assertTrue(count > 800 && count < 1_200, firsts::toString));
    }
}
