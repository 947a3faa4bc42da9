package io.anvilpick.load.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that the figures on the capacity page match the slopes file. */
class CapacityPageTest {
    private static final Path DOCS = Path.of("..", "docs");

    @Test
    void figuresOnThePageFollowFromTheSlopes() throws Exception {
        ImmutableList<Slope> slopes = SlopeFile.read(DOCS.resolve("capacity-slopes.json"));
        String page = Files.readString(DOCS.resolve("CAPACITY.md"));
        assertTrue(
                page.contains(CapacityPage.figures(slopes)),
                "docs/CAPACITY.md differs from its slopes; run bin/bench capacity, or revert the manual change");
    }

    @Test
    void everySlopeIsTheFitOfItsValues() {
        for (Slope slope : SlopeFile.read(DOCS.resolve("capacity-slopes.json"))) {
            Slope refitted = Slope.fit(slope.name(), slope.unit(), slope.per(), slope.sizes(), slope.values());
            assertEquals(refitted, slope);
        }
    }

    @Test
    void fitFindsTheLineAndItsWorstError() {
        Slope exact = Slope.fit("x", "u", "p", List.of(1.0, 2.0, 3.0, 4.0), List.of(5.0, 7.0, 9.0, 11.0));
        assertEquals(2, exact.slope(), 1e-9);
        assertEquals(3, exact.intercept(), 1e-9);
        assertEquals(0, exact.worstErrorPercent(), 1e-9);
        Slope bent = Slope.fit("x", "u", "p", List.of(1.0, 2.0, 3.0, 4.0), List.of(5.0, 7.0, 9.0, 12.0));
        assertTrue(bent.worstErrorPercent() > 1);
        assertThrows(
                IllegalArgumentException.class,
                () -> Slope.fit("x", "u", "p", List.of(1.0, 2.0, 3.0), List.of(1.0, 2.0, 3.0)));
    }
}
