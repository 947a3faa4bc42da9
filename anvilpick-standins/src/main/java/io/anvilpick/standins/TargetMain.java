package io.anvilpick.standins;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.linecorp.armeria.server.Server;
import io.anvilpick.settings.SettingsReader;
import io.anvilpick.standins.target.TargetFarm;
import io.anvilpick.standins.target.TargetSettings;
import io.anvilpick.standins.target.TargetStandIn;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The main class of the target stand-in, which can also run several targets with an oracle in one process. */
@Command(name = "target", description = "A stand-in for a backend server")
public final class TargetMain extends StandInProgram {
    private static final int DEFAULT_SLOTS = 4;
    private static final int DEFAULT_QUEUE = 50;
    private static final double DEFAULT_MEAN_MILLIS = 10;
    private static final int MAX_TARGETS = 1_000;
    private static final int MAX_COUNT = 1_000_000;

    @Option(name = "--port", description = "Port to listen on; 0 (default) for any free port")
    private @Nullable String port;

    @Option(name = "--id", description = "Id of the target in its records (default target)")
    private @Nullable String id;

    @Option(name = "--slots", description = "Maximum number of calls processed at the same time (default 4)")
    private @Nullable String slots;

    @Option(name = "--queue", description = "Maximum number of queued calls (default 50)")
    private @Nullable String queue;

    @Option(name = "--mean-ms", description = "Mean service time of a read in milliseconds (default 10)")
    private @Nullable String meanMillis;

    @Option(name = "--write-ms", description = "Mean service time of any other call in milliseconds (default 10)")
    private @Nullable String writeMillis;

    @Option(
            name = "--cold-ms",
            description = "Milliseconds after the start during which calls take five times as long (default 0)")
    private @Nullable String coldMillis;

    @Option(name = "--seed", description = "Seed of all random numbers (default 1)")
    private @Nullable String seed;

    @Option(
            name = "--count",
            description = "Number of targets to run on the ports after --port, with an oracle on --port;"
                    + " 0 (default) for a single target on --port")
    private @Nullable String targetCount;

    /** Parses the flags, starts the servers and serves until the process is stopped. */
    public static void main(String[] args) throws InterruptedException {
        run(TargetMain.class, args);
    }

    @Override
    List<Server> create(SettingsReader settings) {
        int firstPort = settings.port("--port", port, 0);
        int count = settings.wholeNumber("--count", targetCount, 0, MAX_TARGETS, 0);
        TargetSettings target = new TargetSettings(
                settings.text("--id", id, "target"),
                settings.wholeNumber("--slots", slots, 1, MAX_COUNT, DEFAULT_SLOTS),
                settings.wholeNumber("--queue", queue, 0, MAX_COUNT, DEFAULT_QUEUE),
                settings.number("--mean-ms", meanMillis, DEFAULT_MEAN_MILLIS),
                settings.number("--write-ms", writeMillis, DEFAULT_MEAN_MILLIS),
                settings.wholeNumber("--cold-ms", coldMillis, 0, MAX_COUNT, 0),
                settings.wholeNumber("--seed", seed, 0, Integer.MAX_VALUE, 1));
        return count == 0
                ? List.of(TargetStandIn.create(firstPort, target))
                : TargetFarm.create(firstPort, count, target);
    }
}
