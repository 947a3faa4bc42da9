package io.anvilpick.standins;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.linecorp.armeria.server.Server;
import io.anvilpick.settings.SettingsReader;
import io.anvilpick.standins.platform.PlatformStandIn;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Runs a platform stand-in. */
@Command(name = "platform", description = "A key-value service in the place of the platform's")
public final class PlatformMain extends StandInProgram {
    private static final int DEFAULT_READS = 2_000;
    private static final int DEFAULT_WRITES = 300;
    private static final int DEFAULT_SEED = 1;

    @Option(name = "--port", description = "Port; 0 for any that is free")
    private @Nullable String port;

    @Option(name = "--reads-per-second", description = "Reads taken each second (default 2000)")
    private @Nullable String reads;

    @Option(name = "--writes-per-second", description = "Writes taken each second (default 300)")
    private @Nullable String writes;

    @Option(name = "--seed", description = "Seed of the draws of lost answers (default 1)")
    private @Nullable String seed;

    /** Runs the program. */
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
