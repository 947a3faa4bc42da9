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

/** Signs the configuration that is generated from a questionnaire and stores it as the next version. */
@Command(
        name = "accept",
        description = "Accept the configuration generated from the questionnaire FILE,"
                + " if VERSION is still the stored version")
public final class AcceptCommand implements OperatorCommand {
    @AirlineModule
    private PlatformOption platform = new PlatformOption();

    @Option(
            name = "--version",
            title = "VERSION",
            description = "Stored version that anvilpick diff showed; 0 if there is none (or set ANVILPICK_VERSION)")
    private @Nullable String version;

    @Option(
            name = "--key",
            title = "KEYFILE",
            description = "Path of the file with the operator's private key (or set ANVILPICK_KEY)")
    private @Nullable String keyFile;

    @Option(
            name = "--change-id",
            title = "ID",
            description = "Id of the change (default: a random one); give the same id to retry a change")
    private @Nullable String changeId;

    @Arguments(title = "FILE", description = "Path of the questionnaire")
    private @Nullable String file;

    @Override
    public ExitCode run(CommandContext context) throws CliException, PlatformException, ConfigurationException {
        SettingsReader reader = new SettingsReader(context.environment());
        String keyPath = reader.text("--key", keyFile);
        int expectedVersion = reader.wholeNumber("--version", version, 0, Integer.MAX_VALUE, -1);
        if (!reader.errors().isEmpty()) {
            throw new CliException(ExitCode.USAGE, String.join("\n", reader.errors()));
        }
        if (file == null || expectedVersion < 0) {
            throw new CliException(
                    ExitCode.USAGE,
                    file == null
                            ? "FILE: is missing; give the path of the questionnaire"
                            : "--version: is missing;"
                                    + " give the version that anvilpick diff shows, or 0 if there is none");
        }
        String id = changeId == null ? UUID.randomUUID().toString() : changeId;
        Proposal proposal = Proposal.read(file, platform.stored(context));
        ConfigurationAcceptor acceptor =
                new ConfigurationAcceptor(platform.store(context), platform.codec(), context.time());
        AcceptResult result = acceptor.accept(new ConfigurationAcceptor.Change(
                proposal.configuration(),
                expectedVersion,
                id,
                InputFiles.read(keyPath).strip()));
        return report(context, proposal, result, id);
    }

    private ExitCode report(CommandContext context, Proposal proposal, AcceptResult result, String id) {
        return switch (result) {
            case AcceptResult.Accepted accepted -> {
                context.out().println("accepted as version " + accepted.version() + ", change " + id);
                yield ExitCode.OK;
            }
            case AcceptResult.Stale stale -> {
                context.err()
                        .println("refused: --version is out of date. Version "
                                + stale.winner().version() + " by "
                                + stale.winner().acceptedBy()
                                + " was accepted first; nothing was changed."
                                + " Difference from the stored configuration:");
                showDiff(context, proposal);
                yield ExitCode.REFUSED;
            }
            case AcceptResult.Refused refused -> {
                context.err().println("refused: " + refused.reason());
                yield ExitCode.REFUSED;
            }
            case AcceptResult.Unknown unknown -> {
                context.err()
                        .println("outcome of the change unknown: " + unknown.reason()
                                + ". It is safe to repeat the command with the same change id:"
                                + " anvilpick accept --change-id " + id + " ...");
                yield ExitCode.TRY_AGAIN;
            }
        };
    }

    private void showDiff(CommandContext context, Proposal proposal) {
        try {
            Optional<ConfigurationStore.Stored> stored = platform.stored(context);
            Snapshot winner = stored.map(ConfigurationStore.Stored::snapshot).orElse(null);
            ConfigurationDiff.between(winner == null ? null : winner.configuration(), proposal.configuration())
                    .forEach(context.err()::println);
        } catch (CliException | PlatformException | ConfigurationException e) {
            context.err().println("cannot show the stored configuration: " + e.getMessage());
        }
    }
}
