package io.anvilpick.cli;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.parser.errors.ParseException;
import com.linecorp.armeria.client.ClientFactory;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.platform.http.HttpPlatform;
import io.anvilpick.settings.ExitCode;
import io.anvilpick.time.TimeSource;
import java.util.List;

/** The main class of the operator client {@code anvilpick}. */
@Cli(
        name = "anvilpick",
        description = "Configures anvilpick: print a questionnaire with template, fill it in,"
                + " then run check, diff and accept."
                + " The flags --platform, --key and --version can also be set by the environment variables"
                + " ANVILPICK_PLATFORM, ANVILPICK_KEY and ANVILPICK_VERSION.",
        defaultCommand = HelpCommand.class,
        commands = {
            TemplateCommand.class,
            KeysCommand.class,
            CheckCommand.class,
            GenerateCommand.class,
            DiffCommand.class,
            AcceptCommand.class,
            StatusCommand.class,
            HistoryCommand.class,
            ExplainCommand.class,
            HelpCommand.class
        })
public final class OperatorCli {
    private OperatorCli() {}

    /** Runs the command that {@code args} name, and exits with its exit code. */
    public static void main(String[] args) {
        TimeSource time = TimeSource.system();
        CommandContext context = new CommandContext(
                System.out,
                System.err,
                System.getenv(),
                address -> HttpPlatform.at(address, ClientFactory.ofDefault(), time),
                time);
        System.exit(run(context, args).code());
    }

    /** Runs one command and returns the exit code of the process. */
    static ExitCode run(CommandContext context, String... args) {
        List<String> arguments = List.of(args);
        if (arguments.equals(List.of("--version"))) {
            String version = OperatorCli.class.getPackage().getImplementationVersion();
            context.out().println("anvilpick " + (version == null ? "development" : version));
            return ExitCode.OK;
        }
        String[] parsed = arguments.equals(List.of("--help")) ? new String[] {"help"} : args;
        try {
            return new com.github.rvesse.airline.Cli<OperatorCommand>(OperatorCli.class)
                    .parse(parsed)
                    .run(context);
        } catch (ParseException e) {
            return fail(context, ExitCode.USAGE, e.getMessage());
        } catch (CliException e) {
            return fail(context, e.code(), e.getMessage());
        } catch (PlatformException e) {
            return fail(context, ExitCode.UNAVAILABLE, e.getMessage() + "; nothing was changed");
        } catch (ConfigurationException e) {
            return fail(context, ExitCode.DATA, e.getMessage());
        }
    }

    private static ExitCode fail(CommandContext context, ExitCode code, String message) {
        message.lines().forEach(line -> context.err().println("anvilpick: " + line));
        return code;
    }
}
