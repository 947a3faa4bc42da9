package io.anvilpick.load.capacity;

import com.google.common.collect.ImmutableList;
import java.util.Locale;

/**
 * Computes the figures of the capacity page at the size that the system is designed for. The text depends on the slopes
 * alone. A test can therefore check that the page matches the measured slopes.
 */
final class CapacityPage {
    static final String BEGIN = "<!-- figures: begin; written by bin/bench capacity -->";
    static final String END = "<!-- figures: end -->";

    private static final double SERVICES = 2_400;
    private static final double TARGETS = 26_000;
    private static final double CALLS_PER_SECOND = 1_400_000;
    private static final double REGIONS = 6;
    private static final double ZONES = 13;
    private static final double CHANGES_PER_DAY = 80_000;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double VMS_REPLACED_PER_DAY = 7_300;
    private static final double CORES_PER_VM = 2;
    private static final double PLANNED_UTILISATION = 0.4;
    private static final double CHARGES_SHARE = 0.1;
    private static final double REPLICAS = 5;
    private static final double KEY_MEMORY_SECONDS = 600;
    private static final double BOUND_CPU_PERCENT = 1.4;
    private static final double BOUND_MEGABYTES = 32;
    private static final double BOUND_KILOBYTES_PER_SECOND = 25;
    private static final double BOUND_ACTIVATION_MILLIS = 11_000;
    private static final double BOUND_DECISION_MICROS = 5;
    private static final double BOUND_READS = 2_000;
    private static final double BOUND_WRITES = 300;
    private static final double WATCHERS_PER_ZONE = 2;
    private static final double REGISTER_SECONDS = 10;
    private static final double LIST_VMS_SECONDS = 2;
    private static final double MAX_RETRY_PAUSE_SECONDS = 5;
    private static final double PARTS_READ_PER_CHANGE = 2;
    private static final double WRITES_PER_CHANGE = 4;
    private static final double MEGA = 1e6;
    private static final double KILO = 1e3;
    private static final double MICROS_PER_SECOND = 1e6;

    private final ImmutableList<Slope> slopes;
    private final StringBuilder text = new StringBuilder();

    private CapacityPage(ImmutableList<Slope> slopes) {
        this.slopes = slopes;
    }

    /** Returns the part of the page that is derived from {@code slopes}, with its begin and end markers. */
    static String figures(ImmutableList<Slope> slopes) {
        CapacityPage page = new CapacityPage(slopes);
        page.writeSlopes();
        page.writeFleet();
        page.writeDaemon();
        page.writePlatform();
        return BEGIN + "\n" + page.text + END + "\n";
    }

    private void writeSlopes() {
        line("### Slopes measured");
        line("");
        line("| what | unit | per | sizes | slope | at zero | worst distance from the line |");
        line("|---|---|---|---|---:|---:|---:|");
        for (Slope slope : slopes) {
            line(
                    "| %s | %s | %s | %s | %.4g | %.4g | %.0f%% |",
                    slope.name(),
                    slope.unit(),
                    slope.per(),
                    sizesOf(slope),
                    slope.slope(),
                    slope.intercept(),
                    slope.worstErrorPercent());
        }
        line("");
    }

    private void writeFleet() {
        line("### How many daemons");
        line("");
        line(
                "A call costs a daemon %.0f microseconds of processor time (slope of `cpu_of_calls`). %.1f million calls"
                        + " a second take %.0f cores. On VMs of %.0f cores used to %.0f%%, so that a region still carries"
                        + " its load with one of its two or three zones lost, that is **%.0f daemons**, %.0f in each region.",
                microsPerCall(),
                CALLS_PER_SECOND / MEGA,
                coresForCalls(),
                CORES_PER_VM,
                PLANNED_UTILISATION * 100,
                daemons(),
                daemonsPerRegion());
        line("");
    }

    private void writeDaemon() {
        line("### One daemon");
        line("");
        line("| role | what | figure | bound | | carried by |");
        line("|---|---|---:|---:|---|---|");
        double decisionMicros = slope("time_of_decision").at(TARGETS / SERVICES) / KILO;
        rowWithBound("entry", "time of a decision, us", decisionMicros, BOUND_DECISION_MICROS, "dispatch.Dispatcher");
        double activationMillis = slope("time_until_in_force_everywhere").at(SERVICES);
        rowWithBound(
                "reader of the platform",
                "change in force at six daemons, ms",
                activationMillis,
                BOUND_ACTIVATION_MILLIS,
                "daemon.control.ConfigWatch, Gossip");
        rowWithBound(
                "control",
                "memory, MB",
                controlMegabytes(),
                BOUND_MEGABYTES,
                "config.Snapshot, membership.MemberTable");
        rowWithBound(
                "control",
                "processor, % of a core",
                slope("control_cpu_at_one_change_a_second").at(SERVICES),
                BOUND_CPU_PERCENT,
                "daemon.control, config.SnapshotAssembler");
        rowWithBound(
                "control",
                "bytes read and written, KB/s",
                slope("control_bytes_at_one_change_a_second").at(SERVICES) / KILO,
                BOUND_KILOBYTES_PER_SECOND,
                "daemon.control.Gossip");
        rowWithoutBound("entry", "memory of dispatchers, MB", dispatcherMegabytes(), "dispatch.TargetState");
        rowWithoutBound("replica of claims", "claims held, thousands", claimsPerDaemon() / KILO, "claims.ClaimTable");
        rowWithoutBound(
                "replica of claims",
                "memory, MB",
                claimsPerDaemon() * slope("heap_of_claims").slope() / MEGA,
                "claims.ClaimTable");
        rowWithoutBound(
                "replica of claims",
                "votes a second",
                chargesPerSecond() * REPLICAS / daemons(),
                "claims.replication.Claimer");
        rowWithoutBound(
                "replica of claims",
                "processor for votes, % of a core",
                chargesPerSecond()
                        * REPLICAS
                        / daemons()
                        * slope("time_of_vote").at(claimsPerDaemon())
                        / KILO
                        / MICROS_PER_SECOND
                        * 100,
                "claims.ClaimTable");
        line("");
    }

    private void writePlatform() {
        line("### The platform's service, calls a second");
        line("");
        line("| cause | today, 6 daemons | full size | bound |");
        line("|---|---:|---:|---:|");
        platformRow("waiting watches (reads)", 6 / 20.0, watchers() / 20);
        platformRow(
                "watches answered and parts read after changes",
                0,
                changesPerSecond() * watchers() * (1 + PARTS_READ_PER_CHANGE));
        platformRow("list of VMs", 6 / LIST_VMS_SECONDS, watchers() / LIST_VMS_SECONDS);
        platformRow("list of daemons", 6 / REGISTER_SECONDS, daemons() / REGISTER_SECONDS);
        double reads = watchers() / 20
                + changesPerSecond() * watchers() * (1 + PARTS_READ_PER_CHANGE)
                + watchers() / LIST_VMS_SECONDS
                + daemons() / REGISTER_SECONDS;
        line("| **reads in all** | | **%.0f** | %.0f |", reads, BOUND_READS);
        platformRow("renewals of leases (writes)", 6 / REGISTER_SECONDS, daemons() / REGISTER_SECONDS);
        platformRow("accepts (writes)", 0, changesPerSecond() * WRITES_PER_CHANGE);
        platformRow("moves of claims (writes)", 0, 2 * VMS_REPLACED_PER_DAY * daemons() / vms() / SECONDS_PER_DAY);
        double writes = daemons() / REGISTER_SECONDS + changesPerSecond() * WRITES_PER_CHANGE;
        line("| **writes in all** | | **%.0f** | %.0f |", writes, BOUND_WRITES);
        line(
                "| after an hour's outage, writes while all register again | %.0f | %.0f | %.0f |",
                6 * 2 / MAX_RETRY_PAUSE_SECONDS, daemons() * 2 / MAX_RETRY_PAUSE_SECONDS, BOUND_WRITES);
        line(
                "| after an hour's outage, reads | %.0f | %.0f | %.0f |",
                6 * 2 / MAX_RETRY_PAUSE_SECONDS,
                (daemons() + 2 * watchers()) / MAX_RETRY_PAUSE_SECONDS + reads,
                BOUND_READS);
        line("");
        line(
                "Claims cost the platform nothing for each charge. At %.0f charges a second (one call in %.0f) a"
                        + " compare-and-swap for each would take %.0f times the platform's writes.",
                chargesPerSecond(), 1 / CHARGES_SHARE, chargesPerSecond() / BOUND_WRITES);
        line("");
    }

    private double microsPerCall() {
        return slope("cpu_of_calls").slope();
    }

    private double coresForCalls() {
        return CALLS_PER_SECOND * microsPerCall() / MICROS_PER_SECOND;
    }

    private double daemons() {
        return Math.ceil(coresForCalls() / CORES_PER_VM / PLANNED_UTILISATION);
    }

    private double daemonsPerRegion() {
        return Math.ceil(daemons() / REGIONS);
    }

    private double vms() {
        return TARGETS + daemons();
    }

    private double watchers() {
        return ZONES * WATCHERS_PER_ZONE;
    }

    private double changesPerSecond() {
        return CHANGES_PER_DAY / SECONDS_PER_DAY;
    }

    private double chargesPerSecond() {
        return CALLS_PER_SECOND * CHARGES_SHARE;
    }

    private double claimsPerDaemon() {
        return chargesPerSecond() * KEY_MEMORY_SECONDS * REPLICAS / daemons();
    }

    private double controlMegabytes() {
        return (slope("heap_of_configuration").at(SERVICES)
                        + slope("heap_of_members").at(daemonsPerRegion()))
                / MEGA;
    }

    private double dispatcherMegabytes() {
        return slope("heap_of_dispatcher").slope() * TARGETS * 2 / daemons() / MEGA;
    }

    private Slope slope(String name) {
        for (Slope slope : slopes) {
            if (slope.name().equals(name)) {
                return slope;
            }
        }
        throw new IllegalArgumentException("slope is missing: " + name);
    }

    private void rowWithBound(String role, String quantity, double figure, double bound, String component) {
        line(
                "| %s | %s | %.3g | %.3g | %s | `%s` |",
                role, quantity, figure, bound, figure <= bound ? "met" : "**missed**", component);
    }

    private void rowWithoutBound(String role, String quantity, double figure, String component) {
        line("| %s | %s | %.3g | | | `%s` |", role, quantity, figure, component);
    }

    private void platformRow(String cause, double today, double fullSize) {
        line("| %s | %.2f | %.2f | |", cause, today, fullSize);
    }

    private void line(String format, Object... arguments) {
        text.append(String.format(Locale.ROOT, format, arguments)).append('\n');
    }

    private static String sizesOf(Slope slope) {
        StringBuilder sizes = new StringBuilder();
        for (double size : slope.sizes()) {
            sizes.append(sizes.isEmpty() ? "" : ", ").append(String.format(Locale.ROOT, "%.0f", size));
        }
        return sizes.toString();
    }
}
