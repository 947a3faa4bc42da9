package io.anvilpick.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RouteTableTest {
    private static Route route(String name, String prefix, Backend... backends) {
        return new Route(
                name,
                "a.example",
                prefix,
                new RetrySafety.Idempotent(),
                2_000,
                600,
                1,
                2,
                ImmutableList.copyOf(backends));
    }

    private static String findName(RouteTable table, String host, String path) {
        return table.find(host, path).map(Route::name).orElse("none");
    }

    @Test
    void findsRouteWithLongestPrefix() {
        RouteTable table = RouteTable.of(
                List.of(route("short", "/a/", new Backend("s", 1)), route("long", "/a/b/", new Backend("s", 1))));
        assertEquals("long", findName(table, "a.example", "/a/b/c"));
        assertEquals("short", findName(table, "A.Example", "/a/c"));
        assertEquals("none", findName(table, "a.example", "/a"));
        assertEquals("none", findName(table, "b.example", "/a/b/c"));
    }

    @Test
    void rejectsDuplicateRoutes() {
        Route first = route("one", "/a/", new Backend("s", 1));
        assertThrows(IllegalArgumentException.class, () -> RouteTable.of(List.of(first, first)));
        Route samePrefix = route("two", "/a/", new Backend("s", 1));
        assertThrows(IllegalArgumentException.class, () -> RouteTable.of(List.of(first, samePrefix)));
    }

    @Test
    void rejectsInvalidRoutes() {
        assertThrows(IllegalArgumentException.class, () -> route("r", "a/", new Backend("s", 1)));
        assertThrows(IllegalArgumentException.class, () -> route("r", "/a", new Backend("s", 1)));
        assertThrows(IllegalArgumentException.class, () -> route("r", "/a/", new Backend("s", 0)));
        assertThrows(IllegalArgumentException.class, () -> new Backend("s", -1));
    }

    /** Guards against a heap that fills with the state of routes that each version renames. */
    @Test
    void roundRobinForgetsRemovedRoutes() {
        WeightedRoundRobin roundRobin = new WeightedRoundRobin();
        Route kept = route("kept", "/a/", new Backend("s", 1), new Backend("t", 1));
        Route removed = route("removed", "/b/", new Backend("s", 1), new Backend("t", 1));
        assertEquals("s", roundRobin.next(kept));
        assertEquals("s", roundRobin.next(removed));
        roundRobin.retain(RouteTable.of(List.of(kept)));
        assertEquals("t", roundRobin.next(kept));
        assertEquals("s", roundRobin.next(removed));
    }

    @Test
    void rejectsRouteToUnlistedService() {
        RouteTable table = RouteTable.of(List.of(route("r", "/a/", new Backend("s", 1))));
        IllegalArgumentException rejected = assertThrows(
                IllegalArgumentException.class,
                () -> new RouteConfiguration(1, table, ImmutableMap.of(), new RequestLimits(1)));
        assertTrue(String.valueOf(rejected.getMessage()).contains("service s"));
    }

    @Test
    void roundRobinFollowsWeights() {
        WeightedRoundRobin roundRobin = new WeightedRoundRobin();
        Route route = route("r", "/a/", new Backend("x", 90), new Backend("y", 10), new Backend("none", 0));
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 1; i <= 300; i++) {
            counts.merge(roundRobin.next(route), 1, Integer::sum);
            assertEquals(0.9 * i, counts.getOrDefault("x", 0), 1.0);
        }
        assertEquals(Map.of("x", 270, "y", 30), counts);
    }

    @Test
    void newWeightsApplyImmediately() {
        WeightedRoundRobin roundRobin = new WeightedRoundRobin();
        roundRobin.next(route("r", "/a/", new Backend("x", 1), new Backend("y", 1)));
        Route onlyY = route("r", "/a/", new Backend("x", 0), new Backend("y", 1));
        for (int i = 0; i < 10; i++) {
            assertEquals("y", roundRobin.next(onlyY));
        }
    }
}
