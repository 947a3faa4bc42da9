package io.anvilpick.load;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.common.collect.ImmutableList;
import io.anvilpick.settings.ExitCode;
import io.anvilpick.settings.SettingsReader;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;

/** Compares the latency of calls through a daemon with calls sent directly to a target, alternating in one run. */
@Command(name = "latency", description = "Measures the latency that a daemon adds to a call")
public final class LatencyMain implements Program {
    private static final int ROUNDS = 5;
    private static final int SECONDS = 4;
    private static final int WARMUP_SECONDS = 1;
    private static final int FIRST_WARMUP_SECONDS = 15;
    private static final double WARMUP_CALLS_PER_SECOND = 3_000;
    private static final double CALLS_PER_SECOND = 500;
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final double TARGET_ADDED_P99_MILLIS = 0.43;

    private static final CallKind LOOKUP = new CallKind("GET", "/rows");
    private static final CallKind CHARGE = new CallKind("POST", "/charges");

    /** HTTP method and path of a call. */
    private record CallKind(String method, String path) {}

    @Option(name = "--daemon", description = "Address of a daemon")
    private @Nullable String daemon;

    @Option(name = "--target", description = "Address of a target")
    private @Nullable String target;

    /** Runs the program. */
    public static void main(String[] args) throws InterruptedException {
        Program.runAndExit(LatencyMain.class, "latency", args);
    }

    @Override
    public ExitCode run() throws InterruptedException {
        SettingsReader reader = new SettingsReader(System.getenv());
        String daemonAddress = reader.address("--daemon", daemon);
        String targetAddress = reader.address("--target", target);
        if (!reader.errors().isEmpty()) {
            reader.errors().forEach(error -> System.err.println("latency: " + error));
            return ExitCode.USAGE;
        }
        measure(daemonAddress, FIRST_WARMUP_SECONDS, WARMUP_CALLS_PER_SECOND, 0);
        measure(targetAddress, FIRST_WARMUP_SECONDS, WARMUP_CALLS_PER_SECOND, 0);
        Histogram throughDaemon = new Histogram(3);
        Histogram directToTarget = new Histogram(3);
        Histogram charges = new Histogram(3);
        measure(daemonAddress, CHARGE, FIRST_WARMUP_SECONDS, CALLS_PER_SECOND, 0);
        for (int round = 1; round <= ROUNDS; round++) {
            throughDaemon.add(measure(daemonAddress, SECONDS, CALLS_PER_SECOND, round));
            charges.add(measure(daemonAddress, CHARGE, SECONDS, CALLS_PER_SECOND, round));
            directToTarget.add(measure(targetAddress, SECONDS, CALLS_PER_SECOND, round));
        }
        System.out.println("| | p50 ms | p90 ms | p99 ms |");
        System.out.println("|---|---:|---:|---:|");
        printRow("through a daemon", throughDaemon);
        printRow("straight to the target", directToTarget);
        printRow("charge through a daemon, with its claim", charges);
        double added50 = millis(throughDaemon, 50) - millis(directToTarget, 50);
        double added99 = millis(throughDaemon, 99) - millis(directToTarget, 99);
        System.out.printf(
                "added_p50_ms=%.3f added_p99_ms=%.3f ratio_p50=%.2f ratio_p99=%.2f target_p99_ms=%.2f met=%s%n",
                added50,
                added99,
                millis(throughDaemon, 50) / millis(directToTarget, 50),
                millis(throughDaemon, 99) / millis(directToTarget, 99),
                TARGET_ADDED_P99_MILLIS,
                added99 <= TARGET_ADDED_P99_MILLIS);
        return ExitCode.OK;
    }

    private static Histogram measure(String address, int seconds, double perSecond, int seed)
            throws InterruptedException {
        return measure(address, LOOKUP, seconds, perSecond, seed);
    }

    private static Histogram measure(String address, CallKind kind, int seconds, double perSecond, int seed)
            throws InterruptedException {
        CallStream stream = new CallStream("bench", kind.method(), kind.path(), perSecond, "a");
        LoadRun run = new LoadRun(new LoadSettings(
                ImmutableList.of(address),
                true,
                "",
                ImmutableList.of(stream),
                seconds,
                WARMUP_SECONDS,
                seed,
                "",
                ImmutableList.of()));
        run.run();
        return run.tallies().get(stream).latencies();
    }

    private static void printRow(String rowLabel, Histogram micros) {
        System.out.printf(
                "| %s | %.3f | %.3f | %.3f |%n", rowLabel, millis(micros, 50), millis(micros, 90), millis(micros, 99));
    }

    private static double millis(Histogram micros, double percentile) {
        return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
