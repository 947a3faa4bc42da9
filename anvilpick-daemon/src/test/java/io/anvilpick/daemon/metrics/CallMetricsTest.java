package io.anvilpick.daemon.metrics;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.anvilpick.config.ActiveConfiguration;
import io.anvilpick.error.ErrorKind;
import org.junit.jupiter.api.Test;

class CallMetricsTest {
    private final CallMetrics metrics = new CallMetrics(new ActiveConfiguration());

    @Test
    void scrapeShowsEveryMetricWithItsLabels() {
        metrics.gauge("anvilpick_members", () -> 3);
        metrics.answered("tillhand", "tally", "a stranger", 5_000_000);
        metrics.refused("tillhand", "tally", "a stranger", ErrorKind.OVERLOADED);
        metrics.answered("tillhand", "charge", "a stranger", 6_000_000);
        metrics.refused("tillhand", "charge", "a stranger", ErrorKind.NO_TARGET);
        metrics.refused("nowhere", "unclassified", "a stranger", ErrorKind.UNKNOWN_SERVICE);
        metrics.refused("rowboard", "unclassified", "a stranger", ErrorKind.UNKNOWN_REQUEST);
        metrics.refused("rowboard", "lookup", "a stranger", ErrorKind.DEADLINE_BEFORE_SEND);
        metrics.retried("rowboard");
        metrics.retried("tillhand");
        metrics.hedged("tillhand");
        String text = metrics.scrape();
        assertTrue(text.contains("anvilpick_members 3.0"), text);
        assertTrue(text.contains("kind=\"overloaded\""), text);
        assertTrue(text.contains("anvilpick_retries"), text);
        assertTrue(text.contains("anvilpick_hedges"), text);
        assertTrue(text.contains("request=\"tally\""), text);
        assertTrue(text.contains("request=\"charge\""), text);
        assertFalse(text.contains("a stranger"), "tenants that are not configured share one histogram");
    }
}
