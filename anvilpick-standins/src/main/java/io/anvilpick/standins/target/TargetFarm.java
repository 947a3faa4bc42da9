package io.anvilpick.standins.target;

import com.linecorp.armeria.server.Server;
import java.util.ArrayList;
import java.util.List;

/** Creates several targets in one process, with an oracle in front of them, for benchmarks. */
public final class TargetFarm {
    private TargetFarm() {}

    /**
     * Returns servers on loopback, not started yet: the oracle on {@code port}, then {@code count} targets on the ports
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

    /** Stops or starts a target. A stopped target has closed its port and its connections, like one that crashed. */
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
