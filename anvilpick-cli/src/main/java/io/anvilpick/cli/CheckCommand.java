package io.anvilpick.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import io.anvilpick.config.Configuration;
import io.anvilpick.settings.ExitCode;
import org.jspecify.annotations.Nullable;

/** Checks a questionnaire. */
@Command(name = "check", description = "Check the questionnaire FILE and list every fault")
public final class CheckCommand implements OperatorCommand {
    @Arguments(title = "FILE", description = "The questionnaire")
    private @Nullable String file;

    @Override
    public ExitCode run(Console console) throws CliException {
        if (file == null) {
            throw new CliException(ExitCode.USAGE, "FILE: is missing");
        }
        Configuration configuration = Files.readQuestionnaire(file, 1);
        int targets = configuration.services().values().stream()
                .mapToInt(service -> service.targets().size())
                .sum();
        console.out()
                .println(file + ": no faults; " + configuration.services().size() + " services, " + targets
                        + " targets, " + configuration.tenants().size() + " tenants");
        return ExitCode.OK;
    }
}
