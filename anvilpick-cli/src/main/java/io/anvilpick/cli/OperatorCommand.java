package io.anvilpick.cli;

import io.anvilpick.config.ConfigurationException;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.settings.ExitCode;

/** A command of the operator client. */
sealed interface OperatorCommand
        permits TemplateCommand,
                KeysCommand,
                CheckCommand,
                GenerateCommand,
                DiffCommand,
                AcceptCommand,
                StatusCommand,
                HistoryCommand,
                ExplainCommand,
                HelpCommand {
    /** Runs the command and returns the exit code of the process. */
    ExitCode run(CommandContext context) throws CliException, PlatformException, ConfigurationException;
}
