package io.anvilpick.standins;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.linecorp.armeria.server.Server;
import io.anvilpick.settings.SettingsReader;
import io.anvilpick.standins.proxy.FaultProxy;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Runs a fault-injecting proxy. */
@Command(name = "proxy", description = "A TCP proxy that delays, cuts and swallows traffic")
public final class ProxyMain extends StandInProgram {
    @Option(name = "--port", description = "Port of the proxy; 0 for any that is free")
    private @Nullable String port;

    @Option(name = "--admin-port", description = "Port that switches faults; 0 for any that is free")
    private @Nullable String adminPort;

    @Option(name = "--to", description = "Host and port that traffic goes to")
    private @Nullable String to;

    /** Runs the program. */
    public static void main(String[] args) throws InterruptedException {
        run(ProxyMain.class, args);
    }

    @Override
    List<Server> create(SettingsReader settings) {
        String address = settings.address("--to", to);
        int proxyPort = settings.port("--port", port, 0);
        int switchPort = settings.port("--admin-port", adminPort, 0);
        if (!settings.errors().isEmpty()) {
            return List.of();
        }
        return List.of(FaultProxy.create(proxyPort, switchPort, address));
    }
}
