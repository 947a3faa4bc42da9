package io.anvilpick.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import io.anvilpick.config.Configuration;
import io.anvilpick.config.ConfigurationCodec;
import io.anvilpick.settings.ExitCode;
import org.jspecify.annotations.Nullable;

/** Prints the configuration that is generated from a questionnaire. */
@Command(name = "generate", description = "Print the configuration generated from the questionnaire FILE as JSON")
public final class GenerateCommand implements OperatorCommand {
    private static final JsonMapper JSON = new JsonMapper();

    @Arguments(title = "FILE", description = "Path of the questionnaire")
    private @Nullable String file;

    @Override
    public ExitCode run(CommandContext context) throws CliException {
        if (file == null) {
            throw new CliException(ExitCode.USAGE, "FILE: is missing; give the path of the questionnaire");
        }
        Configuration configuration = InputFiles.readQuestionnaire(file, 1);
        context.out().println(prettyPrinted(new ConfigurationCodec().encode(configuration)));
        return ExitCode.OK;
    }

    private static String prettyPrinted(String text) {
        try {
            return JSON.readTree(text).toPrettyString();
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the encoded configuration is not valid JSON", e);
        }
    }
}
