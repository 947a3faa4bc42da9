package io.anvilpick.daemon.entry;

import io.anvilpick.daemon.metrics.EntryMetrics;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.ViewFreshness;

/** The gauges of the entry daemon's metrics page. */
final class EntryGauges {
    private EntryGauges() {}

    /** Registers the gauges in {@code metrics}. */
    static void register(
            EntryMetrics metrics, Shutdown shutdown, FleetState state, ViewFreshness freshness, LoopHealth loopHealth) {
        metrics.gauge("anvilpick_requests_in_flight", shutdown::inFlight);
        metrics.gauge("anvilpick_members_known", () -> state.view().members().size());
        metrics.gauge(
                "anvilpick_zones_evacuated", () -> state.view().evacuatedZones().size());
        metrics.gauge("anvilpick_view_age_ms", () -> freshness.age().toMillis());
        metrics.gauge("anvilpick_store_revision", () -> freshness.revision().number());
        metrics.gauge("anvilpick_store_era", () -> freshness.revision().era());
        metrics.gauge("anvilpick_watches_overdue", freshness::overdueWatches);
        metrics.gauge(
                "anvilpick_configuration_version",
                () -> state.view().configuration().map(each -> each.version()).orElse(0L));
        metrics.gauge(
                "anvilpick_configuration_unreadable",
                () -> state.unreadableConfiguration().isPresent() ? 1 : 0);
        metrics.gauge(
                "anvilpick_configuration_unreadable_version",
                () -> state.unreadableConfiguration()
                        .map(each -> each.version().orElse(0))
                        .orElse(0L));
        metrics.gauge("anvilpick_loops_stuck", loopHealth::stuckLoops);
        metrics.gauge(
                "anvilpick_heap_used_bytes",
                () -> Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        metrics.gauge("anvilpick_heap_max_bytes", Runtime.getRuntime()::maxMemory);
        metrics.unreadableEntries(state::unreadableCounts);
    }
}
