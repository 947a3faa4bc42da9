package io.anvilpick.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.common.io.Resources;
import io.anvilpick.settings.ExitCode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Prints a questionnaire that the operator can fill in. */
@Command(name = "template", description = "Print a commented questionnaire to fill in")
public final class TemplateCommand implements OperatorCommand {
    private static final List<String> EXAMPLES = List.of("plazhna-smetka", "tancparkett");

    @Option(name = "--example", description = "Example to print: plazhna-smetka (default) or tancparkett")
    private String example = EXAMPLES.get(0);

    @Override
    public ExitCode run(CommandContext context) throws CliException {
        if (!EXAMPLES.contains(example)) {
            throw new CliException(
                    ExitCode.USAGE, "--example: '" + example + "': must be one of " + String.join(", ", EXAMPLES));
        }
        context.out().print(readResource(example));
        return ExitCode.OK;
    }

    private static String readResource(String name) {
        try {
            return Resources.toString(
                    Resources.getResource(TemplateCommand.class, name + ".yaml"), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
