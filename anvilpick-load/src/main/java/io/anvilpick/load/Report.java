package io.anvilpick.load;

import com.linecorp.armeria.client.WebClient;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;

/** Prints the results of a load run. */
final class Report {
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final double PROBE_MILLIS = 6;
    private static final Pattern TARGET_COUNTS = Pattern.compile("runs=(\\d+) probes=(\\d+).*");

    private final LoadSettings settings;
    private final LoadRun run;

    /**
     * Numbers of calls that violate the guarantees of the load balancer. All must be zero. Without a folder of execution
     * records, only {@code cut} is counted.
     */
    record Violations(long lost, long doubled, long cut, long refusedButRan) {
        boolean isEmpty() {
            return lost + doubled + cut + refusedButRan == 0;
        }
    }

    Report(LoadSettings settings, LoadRun run) {
        this.settings = settings;
        this.run = run;
    }

    /** Prints a line for each stream and a summary line, and returns the violations. */
    Violations print(PrintStream out) {
        out.printf(
                "%-42s %8s %8s %8s %8s %8s %8s %8s%n",
                "class", "calls", "p50_ms", "p90_ms", "p99_ms", "p99.9_ms", "refused", "unknown");
        Histogram all = new Histogram(3);
        Tally.Counts total = Tally.Counts.NONE;
        Map<String, Long> errors = new TreeMap<>();
        for (Map.Entry<CallStream, Tally> each : run.tallies().entrySet()) {
            Histogram latencies = each.getValue().latencies();
            Tally.Counts counts = each.getValue().counts();
            printStreamRow(out, each.getKey().label(), counts, latencies);
            all.add(latencies);
            total = total.plus(counts);
            each.getValue().errors().forEach((error, count) -> errors.merge(error, count, Long::sum));
        }
        errors.forEach((error, count) -> out.println("error=" + error + " count=" + count));
        Violations violations = findViolations(total);
        out.printf(
                "calls=%d answered=%d not_run=%d unknown=%d lost=%d doubled=%d cut=%d p99_ms=%.2f probe_share=%.5f%n",
                total.calls(),
                total.answered(),
                total.notRun(),
                total.unknown(),
                violations.lost() + violations.refusedButRan(),
                violations.doubled(),
                violations.cut(),
                millisAt(all, 99),
                probeShare());
        return violations;
    }

    private Violations findViolations(Tally.Counts total) {
        if (settings.recordsFolder().isEmpty()) {
            return new Violations(0, 0, total.cut(), 0);
        }
        RunRecords records = RunRecords.read(Path.of(settings.recordsFolder()));
        return new Violations(
                records.missing(run.answeredWrites()),
                records.doubled(),
                total.cut(),
                records.ranDespiteRefusal(run.refusedWrites()));
    }

    /** Returns the share of the targets' time used by probes, from the targets' own counts. Stopped targets are excluded. */
    private double probeShare() {
        WebClient client = WebClient.of();
        double probeMillis = 0;
        int respondingTargets = 0;
        for (String target : settings.targets()) {
            try {
                String counts = client.get("http://" + target + "/admin/counts")
                        .aggregate()
                        .join()
                        .contentUtf8();
                Matcher matcher = TARGET_COUNTS.matcher(counts);
                if (matcher.matches()) {
                    respondingTargets++;
                    probeMillis += Long.parseLong(matcher.group(2)) * PROBE_MILLIS;
                }
            } catch (CompletionException e) {
                // A target that crashed during the run has lost its counts.
                continue;
            }
        }
        return respondingTargets == 0 ? 0 : probeMillis / (respondingTargets * settings.seconds() * MICROS_PER_MILLI);
    }

    private static void printStreamRow(PrintStream out, String label, Tally.Counts counts, Histogram latencies) {
        out.printf(
                "%-42s %8d %8.2f %8.2f %8.2f %8.2f %8d %8d%n",
                label,
                counts.calls(),
                millisAt(latencies, 50),
                millisAt(latencies, 90),
                millisAt(latencies, 99),
                millisAt(latencies, 99.9),
                counts.notRun(),
                counts.unknown() + counts.cut());
    }

    private static double millisAt(Histogram micros, double percentile) {
        return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
