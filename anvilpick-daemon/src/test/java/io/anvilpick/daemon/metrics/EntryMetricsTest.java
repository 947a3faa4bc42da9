package io.anvilpick.daemon.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.routes.Backend;
import io.anvilpick.routes.RequestLimits;
import io.anvilpick.routes.RetrySafety;
import io.anvilpick.routes.Route;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.routes.RouteTable;
import io.anvilpick.time.ManualTimeSource;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against a heap that fills with the metrics of routes (review case 6). */
class EntryMetricsTest {
    private static final long NANOS = 5_000_000;
    private static final int MANY_ROUTES = 3_000;

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final EntryMetrics metrics = new EntryMetrics(time);

    private static RouteConfiguration configuration(long version, IntStream routes) {
        ImmutableList<Route> table = routes.mapToObj(EntryMetricsTest::route).collect(ImmutableList.toImmutableList());
        return new RouteConfiguration(
                version,
                RouteTable.of(table),
                ImmutableMap.of("s", new RouteConfiguration.ServiceSettings("/healthz", 10)),
                new RequestLimits(1_000));
    }

    private static Route route(int number) {
        return new Route(
                "r" + number,
                "a.example",
                "/" + number + "/",
                new RetrySafety.Idempotent(),
                2_000,
                600,
                1,
                2,
                ImmutableList.of(new Backend("s", 1)));
    }

    private void use(int route) {
        metrics.answered("r" + route, 200, NANOS);
        metrics.answered("r" + route, 500, NANOS);
        metrics.failed("r" + route, ErrorKind.OVERLOADED);
        metrics.abandoned("r" + route);
    }

    private long linesOf(String family) {
        return metrics.scrape()
                .lines()
                .filter(line -> line.startsWith(family + "{"))
                .count();
    }

    /** Returns the value of the only line of {@code family} with {@code label}. The order of labels differs from run to run. */
    private double valueOf(String family, String label) {
        List<String> found = metrics.scrape()
                .lines()
                .filter(line -> line.startsWith(family + "{") && line.contains(label))
                .toList();
        assertEquals(1, found.size(), found::toString);
        return Double.parseDouble(found.getFirst().substring(found.getFirst().lastIndexOf(' ') + 1));
    }

    @Test
    void routesBeyondTheBoundShareMetrics() {
        metrics.retain(configuration(1, IntStream.range(0, MANY_ROUTES)));
        IntStream.range(0, MANY_ROUTES).forEach(this::use);
        assertEquals(2 * (EntryMetrics.MAX_ROUTES + 1), linesOf("anvilpick_request_microseconds_count"));
        assertEquals(EntryMetrics.MAX_ROUTES + 1, linesOf("anvilpick_requests_abandoned"));
        assertEquals(MANY_ROUTES - EntryMetrics.MAX_ROUTES, valueOf("anvilpick_requests_failed", "route=\"other\""));
    }

    @Test
    void routesThatAVersionRemovesTakeTheirMetricsAlong() {
        for (int version = 1; version <= 20; version++) {
            int first = version * 100;
            metrics.retain(configuration(version, IntStream.range(first, first + 100)));
            IntStream.range(first, first + 100).forEach(this::use);
        }
        assertEquals(200, linesOf("anvilpick_request_microseconds_count"));
        use(100);
        assertFalse(metrics.scrape().contains("route=\"r100\""), "a request may end after its route was removed");
        metrics.answered("none", 404, NANOS);
        assertTrue(metrics.scrape().contains("route=\"none\""));
    }

    @Test
    void routeInUseTakesThePlaceOfAnIdleOne() {
        metrics.retain(configuration(1, IntStream.range(0, MANY_ROUTES)));
        IntStream.range(0, EntryMetrics.MAX_ROUTES).forEach(this::use);
        time.advance(NamedMetrics.IDLE_TIME);
        IntStream.range(1, EntryMetrics.MAX_ROUTES).forEach(this::use);
        use(EntryMetrics.MAX_ROUTES);
        use(EntryMetrics.MAX_ROUTES + 1);
        String page = metrics.scrape();
        assertFalse(page.contains("route=\"r0\""));
        assertTrue(page.contains("route=\"r" + EntryMetrics.MAX_ROUTES + "\""));
        assertFalse(page.contains("route=\"r" + (EntryMetrics.MAX_ROUTES + 1) + "\""));
    }

    @Test
    void servicesThatAVersionRemovesTakeTheirMetricsAlong() {
        metrics.retain(configuration(1, IntStream.range(0, 1)));
        metrics.retried("s");
        metrics.hedged("removed");
        metrics.zoneSpill("s", "home", 30);
        assertEquals(1, valueOf("anvilpick_retries", "service=\"s\""));
        assertEquals(30, valueOf("anvilpick_zone_spill_percent", "service=\"s\""));
        assertEquals(1, valueOf("anvilpick_hedges", "service=\"other\""));
    }
}
