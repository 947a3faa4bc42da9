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

/** Shows what the client can do. */
@Command(name = "help", description = "Show the commands, or one of them")
public final class HelpCommand implements OperatorCommand {
    @AirlineModule
    private GlobalMetadata<OperatorCommand> metadata;

    @Arguments(title = "COMMAND", description = "The command to show")
    private List<String> command = new ArrayList<>();

    @Override
    public ExitCode run(Console console) throws CliException {
        if (!command.isEmpty() && !isCommand(command.get(0))) {
            throw new CliException(ExitCode.USAGE, "'" + command.get(0) + "': is not a command; see anvilpick --help");
        }
        try {
            Help.help(metadata, command, console.out());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return ExitCode.OK;
    }

    private boolean isCommand(String name) {
        return metadata.getDefaultGroupCommands().stream()
                .anyMatch(each -> each.getName().equals(name));
    }
}
