package io.anvilpick.cli;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;
import io.anvilpick.settings.ExitCode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Prints the usage of the client or of one command. */
@Command(name = "help", description = "Show all commands, or the usage of one command")
public final class HelpCommand implements OperatorCommand {
    @AirlineModule
    private GlobalMetadata<OperatorCommand> metadata;

    @Arguments(title = "COMMAND", description = "Name of the command")
    private List<String> command = new ArrayList<>();

    @Override
    public ExitCode run(CommandContext context) throws CliException {
        if (!command.isEmpty() && !isCommand(command.get(0))) {
            throw new CliException(
                    ExitCode.USAGE,
                    "'" + command.get(0) + "': is not a command; run anvilpick --help for the list of commands");
        }
        try {
            Help.help(metadata, command, context.out());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return ExitCode.OK;
    }

    private boolean isCommand(String name) {
        return metadata.getDefaultGroupCommands().stream()
                .anyMatch(candidate -> candidate.getName().equals(name));
    }
}
