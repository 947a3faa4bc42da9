package io.anvilpick.load;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.common.collect.ImmutableList;
import io.anvilpick.settings.ExitCode;
import io.anvilpick.settings.SettingsReader;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;

/** Compares the latency of calls through a daemon with that of calls straight to a target, taking turns in one run. */
@Command(name = "latency", description = "Measures the latency that a daemon adds to a call")
public final class LatencyMain implements Program {
    private static final int ROUNDS = 5;
    private static final int SECONDS = 4;
    private static final int WARMUP_SECONDS = 1;
    private static final int FIRST_WARMUP_SECONDS = 15;
    private static final double WARMUP_PER_SECOND = 3_000;
    private static final double PER_SECOND = 500;
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final double TARGET_MILLIS = 0.43;

    private static final Kind LOOKUP = new Kind("GET", "/rows");
    private static final Kind CHARGE = new Kind("POST", "/charges");

    /** A kind of calls. */
    private record Kind(String method, String path) {}

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
        String through = reader.address("--daemon", daemon);
        String straight = reader.address("--target", target);
        if (!reader.errors().isEmpty()) {
            reader.errors().forEach(error -> System.err.println("latency: " + error));
            return ExitCode.USAGE;
        }
        measure(through, FIRST_WARMUP_SECONDS, WARMUP_PER_SECOND, 0);
        measure(straight, FIRST_WARMUP_SECONDS, WARMUP_PER_SECOND, 0);
        Histogram throughDaemon = new Histogram(3);
        Histogram straightToTarget = new Histogram(3);
        Histogram charges = new Histogram(3);
        measure(through, CHARGE, FIRST_WARMUP_SECONDS, PER_SECOND, 0);
        for (int round = 1; round <= ROUNDS; round++) {
            throughDaemon.add(measure(through, SECONDS, PER_SECOND, round));
            charges.add(measure(through, CHARGE, SECONDS, PER_SECOND, round));
            straightToTarget.add(measure(straight, SECONDS, PER_SECOND, round));
        }
        System.out.println("| | p50 ms | p90 ms | p99 ms |");
        System.out.println("|---|---:|---:|---:|");
        print("through a daemon", throughDaemon);
        print("straight to the target", straightToTarget);
        print("charge through a daemon, with its claim", charges);
        double added50 = millis(throughDaemon, 50) - millis(straightToTarget, 50);
        double added99 = millis(throughDaemon, 99) - millis(straightToTarget, 99);
        System.out.printf(
                "added_p50_ms=%.3f added_p99_ms=%.3f ratio_p50=%.2f ratio_p99=%.2f target_p99_ms=%.2f met=%s%n",
                added50,
                added99,
                millis(throughDaemon, 50) / millis(straightToTarget, 50),
                millis(throughDaemon, 99) / millis(straightToTarget, 99),
                TARGET_MILLIS,
                added99 <= TARGET_MILLIS);
        return ExitCode.OK;
    }

    private static Histogram measure(String address, int seconds, double perSecond, int seed)
            throws InterruptedException {
        return measure(address, LOOKUP, seconds, perSecond, seed);
    }

    private static Histogram measure(String address, Kind kind, int seconds, double perSecond, int seed)
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

    private static void print(String what, Histogram micros) {
        System.out.printf(
                "| %s | %.3f | %.3f | %.3f |%n", what, millis(micros, 50), millis(micros, 90), millis(micros, 99));
    }

    private static double millis(Histogram micros, double percentile) {
        return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
