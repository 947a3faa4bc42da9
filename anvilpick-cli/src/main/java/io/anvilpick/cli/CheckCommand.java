package io.anvilpick.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import io.anvilpick.config.Configuration;
import io.anvilpick.settings.ExitCode;
import org.jspecify.annotations.Nullable;

/** Checks a questionnaire without contacting the platform. */
@Command(name = "check", description = "Check the questionnaire FILE and list every error")
public final class CheckCommand implements OperatorCommand {
    @Arguments(title = "FILE", description = "Path of the questionnaire")
    private @Nullable String file;

    @Override
    public ExitCode run(CommandContext context) throws CliException {
        if (file == null) {
            throw new CliException(ExitCode.USAGE, "FILE: is missing; give the path of the questionnaire");
        }
        Configuration configuration = InputFiles.readQuestionnaire(file, 1);
        int targets = configuration.services().values().stream()
                .mapToInt(service -> service.targets().size())
                .sum();
        context.out()
                .println(file + ": no errors; " + configuration.services().size() + " services, " + targets
                        + " targets, " + configuration.tenants().size() + " tenants");
        return ExitCode.OK;
    }
}
