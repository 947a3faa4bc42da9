package io.anvilpick.standins;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.linecorp.armeria.server.Server;
import io.anvilpick.settings.SettingsReader;
import io.anvilpick.standins.proxy.FaultProxy;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The main class of the fault-injecting proxy. */
@Command(
        name = "proxy",
        description = "A TCP proxy that injects faults: it delays or discards traffic and closes connections")
public final class ProxyMain extends StandInProgram {
    @Option(name = "--port", description = "Port that the proxy listens on; 0 (default) for any free port")
    private @Nullable String port;

    @Option(
            name = "--admin-port",
            description = "Port of the HTTP interface that sets faults; 0 (default) for any free port")
    private @Nullable String adminPort;

    @Option(name = "--to", description = "Host and port that traffic is forwarded to, such as 127.0.0.1:8080")
    private @Nullable String to;

    /** Parses the flags, starts the proxy and runs it until the process is stopped. */
    public static void main(String[] args) throws InterruptedException {
        run(ProxyMain.class, args);
    }

    @Override
    List<Server> create(SettingsReader settings) {
        String address = settings.address("--to", to);
        int proxyPort = settings.port("--port", port, 0);
        int httpPort = settings.port("--admin-port", adminPort, 0);
        if (!settings.errors().isEmpty()) {
            return List.of();
        }
        return List.of(FaultProxy.create(proxyPort, httpPort, address));
    }
}
