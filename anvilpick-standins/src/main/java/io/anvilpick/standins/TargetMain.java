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

/** Runs a target stand-in. */
@Command(name = "target", description = "A backend server in the place of the users'")
public final class TargetMain extends StandInProgram {
    private static final int DEFAULT_SLOTS = 4;
    private static final int DEFAULT_QUEUE = 50;
    private static final double DEFAULT_MEAN_MILLIS = 10;
    private static final int MOST_TARGETS = 1_000;
    private static final int MOST = 1_000_000;

    @Option(name = "--port", description = "Port; 0 for any that is free")
    private @Nullable String port;

    @Option(name = "--id", description = "Name in records")
    private @Nullable String id;

    @Option(name = "--slots", description = "Calls worked on at a time (default 4)")
    private @Nullable String slots;

    @Option(name = "--queue", description = "Calls that may wait (default 50)")
    private @Nullable String queue;

    @Option(name = "--mean-ms", description = "Mean time of a read in milliseconds (default 10)")
    private @Nullable String meanMillis;

    @Option(name = "--write-ms", description = "Mean time of any other call in milliseconds (default 10)")
    private @Nullable String writeMillis;

    @Option(name = "--cold-ms", description = "Milliseconds after the start during which calls are slow (default 0)")
    private @Nullable String coldMillis;

    @Option(name = "--seed", description = "Seed of all chance (default 1)")
    private @Nullable String seed;

    @Option(name = "--count", description = "Run that many targets at the ports after --port, and an oracle at --port")
    private @Nullable String farm;

    /** Runs the program. */
    public static void main(String[] args) throws InterruptedException {
        run(TargetMain.class, args);
    }

    @Override
    List<Server> create(SettingsReader settings) {
        int firstPort = settings.port("--port", port, 0);
        int count = settings.wholeNumber("--count", farm, 0, MOST_TARGETS, 0);
        TargetSettings target = new TargetSettings(
                settings.text("--id", id, "target"),
                settings.wholeNumber("--slots", slots, 1, MOST, DEFAULT_SLOTS),
                settings.wholeNumber("--queue", queue, 0, MOST, DEFAULT_QUEUE),
                settings.number("--mean-ms", meanMillis, DEFAULT_MEAN_MILLIS),
                settings.number("--write-ms", writeMillis, DEFAULT_MEAN_MILLIS),
                settings.wholeNumber("--cold-ms", coldMillis, 0, MOST, 0),
                settings.wholeNumber("--seed", seed, 0, Integer.MAX_VALUE, 1));
        return count == 0
                ? List.of(TargetStandIn.create(firstPort, target))
                : TargetFarm.create(firstPort, count, target);
    }
}
