package io.anvilpick.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.anvilpick.config.AcceptResult;
import io.anvilpick.config.ConfigurationAcceptor;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.config.ConfigurationStore;
import io.anvilpick.config.Snapshot;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.questionnaire.ConfigurationDiff;
import io.anvilpick.settings.ExitCode;
import io.anvilpick.settings.SettingsReader;
import java.util.Optional;
import java.util.UUID;
import org.jspecify.annotations.Nullable;

/** Accepts the configuration that a questionnaire yields. */
@Command(
        name = "accept",
        description = "Accept the configuration that the questionnaire FILE yields, if VERSION is still in force")
public final class AcceptCommand implements OperatorCommand {
    @AirlineModule
    private PlatformOption platform = new PlatformOption();

    @Option(name = "--version", title = "VERSION", description = "The version that anvilpick diff showed; 0 for none")
    private @Nullable String version;

    @Option(name = "--key", title = "KEYFILE", description = "File with the operator's private key")
    private @Nullable String keyFile;

    @Option(name = "--change-id", title = "ID", description = "Name of the change, to try the same one again")
    private @Nullable String changeId;

    @Arguments(title = "FILE", description = "The questionnaire")
    private @Nullable String file;

    @Override
    public ExitCode run(Console console) throws CliException, PlatformException, ConfigurationException {
        SettingsReader reader = new SettingsReader(console.environment());
        String keyPath = reader.text("--key", keyFile);
        int expected = reader.wholeNumber("--version", version, 0, Integer.MAX_VALUE, -1);
        if (!reader.errors().isEmpty()) {
            throw new CliException(ExitCode.USAGE, String.join("\n", reader.errors()));
        }
        if (file == null || expected < 0) {
            throw new CliException(ExitCode.USAGE, file == null ? "FILE: is missing" : "--version: is missing");
        }
        String id = changeId == null ? UUID.randomUUID().toString() : changeId;
        Proposal proposal = Proposal.read(file, platform.stored(console));
        ConfigurationAcceptor acceptor =
                new ConfigurationAcceptor(platform.store(console), platform.codec(), console.time());
        AcceptResult result = acceptor.accept(new ConfigurationAcceptor.Change(
                proposal.wanted(), expected, id, Files.read(keyPath).strip()));
        return show(console, proposal, result, id);
    }

    private ExitCode show(Console console, Proposal proposal, AcceptResult result, String id) {
        return switch (result) {
            case AcceptResult.Accepted accepted -> {
                console.out().println("accepted as version " + accepted.version() + ", change " + id);
                yield ExitCode.OK;
            }
            case AcceptResult.Stale stale -> {
                console.err()
                        .println("refused: version " + stale.winner().version() + " by "
                                + stale.winner().acceptedBy()
                                + " came first; nothing was merged. Against what is stored now:");
                showDiff(console, proposal);
                yield ExitCode.REFUSED;
            }
            case AcceptResult.Refused refused -> {
                console.err().println("refused: " + refused.reason());
                yield ExitCode.REFUSED;
            }
            case AcceptResult.Unknown unknown -> {
                console.err()
                        .println("not known whether the change landed: " + unknown.reason()
                                + ". Running it again is safe: anvilpick accept --change-id " + id + " ...");
                yield ExitCode.TRY_AGAIN;
            }
        };
    }

    private void showDiff(Console console, Proposal proposal) {
        try {
            Optional<ConfigurationStore.Stored> stored = platform.stored(console);
            Snapshot winner = stored.map(ConfigurationStore.Stored::snapshot).orElse(null);
            ConfigurationDiff.between(winner == null ? null : winner.configuration(), proposal.wanted())
                    .forEach(console.err()::println);
        } catch (CliException | PlatformException | ConfigurationException e) {
            console.err().println("what is stored cannot be shown: " + e.getMessage());
        }
    }
}
