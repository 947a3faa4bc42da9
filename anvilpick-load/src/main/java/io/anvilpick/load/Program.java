package io.anvilpick.load;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.settings.ExitCode;
import java.io.IOException;

/** A program whose fields are filled from flags. */
public interface Program {
    /** Does the program's work and returns how it ended. */
    ExitCode run() throws PlatformException, ConfigurationException, IOException, InterruptedException;

    /**
     * Runs a program of {@code type} and ends the process with its exit code.
     *
     * @param name how the program calls itself in front of errors
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
