package io.anvilpick.standins;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.linecorp.armeria.server.Server;
import io.anvilpick.settings.SettingsReader;
import io.anvilpick.standins.platform.PlatformStandIn;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The main class of the platform stand-in. */
@Command(name = "platform", description = "A stand-in for the platform's key-value service")
public final class PlatformMain extends StandInProgram {
    private static final int DEFAULT_READS = 2_000;
    private static final int DEFAULT_WRITES = 300;
    private static final int DEFAULT_SEED = 1;

    @Option(name = "--port", description = "Port to listen on; 0 (default) for any free port")
    private @Nullable String port;

    @Option(name = "--reads-per-second", description = "Maximum number of reads accepted per second (default 2000)")
    private @Nullable String reads;

    @Option(name = "--writes-per-second", description = "Maximum number of writes accepted per second (default 300)")
    private @Nullable String writes;

    @Option(name = "--seed", description = "Seed of the random choice of lost answers (default 1)")
    private @Nullable String seed;

    /** Parses the flags, starts the server and serves until the process is stopped. */
    public static void main(String[] args) throws InterruptedException {
        run(PlatformMain.class, args);
    }

    @Override
    List<Server> create(SettingsReader settings) {
        return List.of(PlatformStandIn.create(
                settings.port("--port", port, 0),
                settings.wholeNumber("--reads-per-second", reads, 1, Integer.MAX_VALUE, DEFAULT_READS),
                settings.wholeNumber("--writes-per-second", writes, 1, Integer.MAX_VALUE, DEFAULT_WRITES),
                settings.wholeNumber("--seed", seed, 0, Integer.MAX_VALUE, DEFAULT_SEED)));
    }
}
