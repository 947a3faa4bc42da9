package io.anvilpick.standins.target;

import com.linecorp.armeria.server.Server;
import java.util.ArrayList;
import java.util.List;

/** Several targets in one process, and the oracle before them, for benchmarks. */
public final class TargetFarm {
    private TargetFarm() {}

    /**
     * Returns servers that are not started yet: the oracle at {@code port}, then {@code count} targets at the ports
     * after it.
     */
    public static List<Server> create(int port, int count, TargetSettings settings) {
        List<TargetStandIn> targets = new ArrayList<>();
        List<Server> servers = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            TargetSettings each = new TargetSettings(
                    settings.id() + "-" + i,
                    settings.slots(),
                    settings.queue(),
                    settings.meanMillis(),
                    settings.writeMillis(),
                    settings.coldMillis(),
                    settings.seed() + i);
            TargetStandIn target = TargetStandIn.of(each, System.out);
            targets.add(target);
            servers.add(target.server(port + i));
        }
        servers.add(
                0, OracleStandIn.create(port, targets, (index, down) -> switchTarget(targets, servers, index, down)));
        return servers;
    }

    /** A target that is down has closed its port and cut its connections, as one that crashed. */
    private static void switchTarget(List<TargetStandIn> targets, List<Server> servers, int index, boolean down) {
        Server server = servers.get(index + 1);
        targets.get(index).setDown(down);
        if (down) {
            server.stop().join();
            return;
        }
        server.start().join();
    }
}
