package io.anvilpick.load;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.settings.ExitCode;
import java.io.IOException;

/** A command-line program whose options are set from flags. */
public interface Program {
    /** Runs the program with the options that were set and returns its exit code. */
    ExitCode run() throws PlatformException, ConfigurationException, IOException, InterruptedException;

    /**
     * Creates a program of {@code type} from the flags, runs it, and ends the process with its exit code.
     *
     * @param name name of the program, printed before error messages
     */
    static void runAndExit(Class<? extends Program> type, String name, String[] args) throws InterruptedException {
        System.exit(run(type, name, args).code());
    }

    private static ExitCode run(Class<? extends Program> type, String name, String[] args) throws InterruptedException {
        try {
            return SingleCommand.singleCommand(type).parse(args).run();
        } catch (ParseException e) {
            System.err.println(name + ": " + e.getMessage());
            return ExitCode.USAGE;
        } catch (PlatformException | ConfigurationException | IOException e) {
            System.err.println(name + ": " + e.getMessage());
            return ExitCode.UNAVAILABLE;
        }
    }
}
