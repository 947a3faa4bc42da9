package io.anvilpick.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.dispatch.SpillVerdict;
import io.anvilpick.dispatch.TargetPolicy;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SpillReporterTest {
    private static final SpillVerdict SPILL =
            new SpillVerdict.Spill(0.304, ImmutableSortedSet.of("b", "c"), SpillVerdict.Reason.LITTLE_ROOM);

    @Test
    void theLineNamesShareZonesAndReason() {
        assertEquals(
                "event=zone_spill service=s share=0.30 zones=b,c reason=little_room",
                SpillReporter.Line.of(SPILL).text("s"));
        assertEquals(
                "event=zone_spill service=s share=0.00 zones=none reason=home",
                SpillReporter.Line.of(new SpillVerdict.Home()).text("s"));
    }

    /** Guards against a line each second for a share that hardly changes. */
    @Test
    void aSlightlyDifferentShareIsNoChange() {
        SpillReporter.Line line = SpillReporter.Line.of(SPILL);
        assertFalse(line.differsFrom(new SpillReporter.Line(33, line.zones(), "queue")));
        assertTrue(line.differsFrom(new SpillReporter.Line(36, line.zones(), "queue")));
    }

    /** Guards against a metric that keeps its last share after the need has ended. */
    @Test
    void theMetricReturnsToZero() {
        ManualTimeSource time = ManualTimeSource.startingAt(0);
        Dispatcher dispatcher = Dispatcher.builder()
                .time(time)
                .random(new SplittableRandom(1))
                .policy(new TargetPolicy.EarliestAnswer("a"))
                .spillAs("d")
                .build();
        dispatcher.configure(
                ServiceConfig.builder("s")
                        .slotsPerTarget(2)
                        .requests(ImmutableList.of())
                        .targets(List.of(
                                new TargetConfig("near", "10.0.0.1", 80, "a", false),
                                new TargetConfig("far", "10.0.0.2", 80, "b", false)))
                        .build(),
                ImmutableMap.of());
        List<String> published = new ArrayList<>();
        SpillReporter reporter = new SpillReporter(
                () -> Map.of("s", dispatcher), (service, reason, percent) -> published.add(reason + "=" + percent));
        reporter.report();
        dispatcher.setLeavingAddresses(Set.of("10.0.0.1"));
        time.advance(Duration.ofSeconds(1));
        reporter.report();
        reporter.report();
        dispatcher.setLeavingAddresses(Set.of());
        time.advance(Duration.ofSeconds(1));
        reporter.report();
        assertEquals(List.of("no_near_target=100", "no_near_target=0"), published);
    }
}
