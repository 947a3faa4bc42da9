package io.anvilpick.daemon.entry;

import io.anvilpick.allowances.GrantorMembers;
import io.anvilpick.daemon.metrics.EntryMetrics;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.ViewFreshness;
import io.anvilpick.fleet.sync.CrashReportWriter;
import io.anvilpick.fleet.sync.FleetFollower;
import io.anvilpick.fleet.sync.MemberRegistrar;
import java.time.Duration;

/** The background loops of an entry daemon. Each runs on a thread of its own until the process ends. */
final class EntryLoops {
    /** Interval at which the daemon checks whether the first read has succeeded, after which it registers. */
    private static final Duration FIRST_READ_POLL_INTERVAL = Duration.ofMillis(50);

    /** Time between checks for registrations that have expired. */
    private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(300);

    /** Time between checks of how current the content is. */
    private static final Duration FRESHNESS_INTERVAL = Duration.ofMillis(250);

    /** Time between log lines on the share of a service's calls that leave the zone. */
    private static final Duration SPILL_REPORT_INTERVAL = Duration.ofSeconds(1);

    private final Parts parts;
    private final LoopHealth health;
    private final EntryMetrics metrics;

    /** What the loops run. */
    record Parts(
            FleetFollower follower,
            FleetState state,
            MemberRegistrar registrar,
            CrashReportWriter crashReports,
            GrantorMembers grantorMembers,
            ViewFreshness freshness,
            SpillReporter spills) {}

    /**
     * Creates loops that do not run yet.
     *
     * @param health records which loops fail
     * @param metrics counts the errors of the loops
     */
    EntryLoops(Parts parts, LoopHealth health, EntryMetrics metrics) {
        this.parts = parts;
        this.health = health;
        this.metrics = metrics;
    }

    /** Starts to follow the store. */
    void startFollower() {
        start("follower", parts.follower()::step);
    }

    /**
     * Starts all loops but the one that follows the store. The daemon registers once the first read has shown whether it was registered
     * before.
     *
     * @param reportsSpills whether calls may leave the zone, which is then reported
     */
    void startOthers(boolean reportsSpills) {
        start("membership", () -> parts.state().isRead() ? parts.registrar().step() : FIRST_READ_POLL_INTERVAL);
        start("era", parts.registrar()::checkEra);
        start("crash-reports", parts.crashReports()::step);
        start("expiry", () -> {
            parts.state().expire();
            parts.grantorMembers().check();
            return EXPIRY_INTERVAL;
        });
        if (reportsSpills) {
            start("zone-spill", () -> {
                parts.spills().report();
                return SPILL_REPORT_INTERVAL;
            });
        }
        start("freshness", () -> {
            parts.freshness().check();
            return FRESHNESS_INTERVAL;
        });
    }

    private void start(String name, BackgroundLoop.Step step) {
        BackgroundLoop.Step observed = () -> {
            Duration pause = step.run();
            health.recordSuccess(name);
            return pause;
        };
        BackgroundLoop.start(name, observed, () -> {
            metrics.loopFault(name);
            health.recordFault(name);
        });
    }
}
