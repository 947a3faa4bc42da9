package io.anvilpick.standins;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;
import com.linecorp.armeria.server.Server;
import io.anvilpick.settings.ExitCode;
import io.anvilpick.settings.SettingsReader;
import java.util.List;

/** Parses the flags of a stand-in, starts its servers and prints the ports that they listen on. */
abstract class StandInProgram {
    /**
     * Returns the servers of the stand-in, not started yet. Errors in the settings are collected in {@code settings},
     * and no server is started if there are any.
     */
    abstract List<Server> create(SettingsReader settings);

    static <T extends StandInProgram> void run(Class<T> program, String[] args) throws InterruptedException {
        try {
            SettingsReader settings = new SettingsReader(System.getenv());
            List<Server> servers =
                    SingleCommand.singleCommand(program).parse(args).create(settings);
            if (!settings.errors().isEmpty()) {
                settings.errors().forEach(System.err::println);
                System.exit(ExitCode.USAGE.code());
            }
            for (Server server : servers) {
                server.start().join();
                System.out.println("listening port=" + server.activeLocalPort());
            }
            Thread.currentThread().join();
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(ExitCode.USAGE.code());
        }
    }
}
