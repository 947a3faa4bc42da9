package io.anvilpick.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import io.anvilpick.config.Configuration;
import io.anvilpick.config.ConfigurationCodec;
import io.anvilpick.settings.ExitCode;
import org.jspecify.annotations.Nullable;

/** Shows the configuration that a questionnaire yields. */
@Command(name = "generate", description = "Print the configuration that the questionnaire FILE yields")
public final class GenerateCommand implements OperatorCommand {
    private static final JsonMapper JSON = new JsonMapper();

    @Arguments(title = "FILE", description = "The questionnaire")
    private @Nullable String file;

    @Override
    public ExitCode run(Console console) throws CliException {
        if (file == null) {
            throw new CliException(ExitCode.USAGE, "FILE: is missing");
        }
        Configuration configuration = Files.readQuestionnaire(file, 1);
        console.out().println(pretty(new ConfigurationCodec().encode(configuration)));
        return ExitCode.OK;
    }

    private static String pretty(String text) {
        try {
            return JSON.readTree(text).toPrettyString();
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a configuration cannot be shown", e);
        }
    }
}
