package io.anvilpick.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.config.ConfigurationStore;
import io.anvilpick.config.Head;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.settings.ExitCode;
import java.time.Instant;
import java.util.Optional;

/** Lists the latest accepted versions and the operators that accepted them. */
@Command(name = "history", description = "List the accepted versions and who accepted them, the latest first")
public final class HistoryCommand implements OperatorCommand {
    private static final int DEFAULT_VERSIONS_SHOWN = 20;

    @AirlineModule
    private PlatformOption platform = new PlatformOption();

    @Option(name = "--last", description = "Maximum number of versions to show (default 20)")
    private int last = DEFAULT_VERSIONS_SHOWN;

    @Override
    public ExitCode run(CommandContext context) throws CliException, PlatformException, ConfigurationException {
        ConfigurationStore store = platform.store(context);
        Optional<ConfigurationStore.Stored> stored = store.load(null);
        if (stored.isEmpty()) {
            context.out().println("no configuration has been accepted yet");
            return ExitCode.OK;
        }
        Head head = stored.get().snapshot().head();
        show(context, head);
        for (long version = head.version() - 1; version > Math.max(0, head.version() - last); version--) {
            Optional<Head> earlier = store.historyOf(version);
            if (earlier.isPresent()) {
                show(context, earlier.get());
            }
        }
        return ExitCode.OK;
    }

    private static void show(CommandContext context, Head head) {
        context.out()
                .println("version " + head.version() + "  " + Instant.ofEpochMilli(head.acceptedAtMillis()) + "  "
                        + head.acceptedBy() + "  epoch " + head.contract().epoch() + "  change " + head.changeId());
    }
}
