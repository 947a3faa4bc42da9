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

/** Shows who accepted what. */
@Command(name = "history", description = "Show who accepted which version, the latest first")
public final class HistoryCommand implements OperatorCommand {
    private static final int DEFAULT_LAST = 20;

    @AirlineModule
    private PlatformOption platform = new PlatformOption();

    @Option(name = "--last", description = "How many versions to show (default 20)")
    private int last = DEFAULT_LAST;

    @Override
    public ExitCode run(Console console) throws CliException, PlatformException, ConfigurationException {
        ConfigurationStore store = platform.store(console);
        Optional<ConfigurationStore.Stored> stored = store.load(null);
        if (stored.isEmpty()) {
            console.out().println("no configuration has been accepted yet");
            return ExitCode.OK;
        }
        Head head = stored.get().snapshot().head();
        show(console, head);
        for (long version = head.version() - 1; version > Math.max(0, head.version() - last); version--) {
            Optional<Head> earlier = store.historyOf(version);
            if (earlier.isPresent()) {
                show(console, earlier.get());
            }
        }
        return ExitCode.OK;
    }

    private static void show(Console console, Head head) {
        console.out()
                .println("version " + head.version() + "  " + Instant.ofEpochMilli(head.acceptedAtMillis()) + "  "
                        + head.acceptedBy() + "  epoch " + head.contract().epoch() + "  change " + head.changeId());
    }
}
