package io.anvilpick.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.google.common.collect.ImmutableList;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.questionnaire.ConfigurationDiff;
import io.anvilpick.settings.ExitCode;
import org.jspecify.annotations.Nullable;

/** Shows how a questionnaire differs from the stored configuration. */
@Command(name = "diff", description = "Show what accepting the questionnaire FILE would change")
public final class DiffCommand implements OperatorCommand {
    @AirlineModule
    private PlatformOption platform = new PlatformOption();

    @Arguments(title = "FILE", description = "Path of the questionnaire")
    private @Nullable String file;

    @Override
    public ExitCode run(CommandContext context) throws CliException, PlatformException, ConfigurationException {
        if (file == null) {
            throw new CliException(ExitCode.USAGE, "FILE: is missing; give the path of the questionnaire");
        }
        Proposal proposal = Proposal.read(file, platform.stored(context));
        ImmutableList<String> lines = ConfigurationDiff.between(
                proposal.stored()
                        .map(stored -> stored.snapshot().configuration())
                        .orElse(null),
                proposal.configuration());
        lines.forEach(context.out()::println);
        context.out()
                .println(lines.size() + " changes to version " + proposal.storedVersion()
                        + "; to accept them: anvilpick accept --version " + proposal.storedVersion() + " " + file);
        return ExitCode.OK;
    }
}
