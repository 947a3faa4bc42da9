package io.anvilpick.config;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A backend server process that answers calls of one service.
 *
 * @param id identifier that is unique within the service
 * @param host IP address
 * @param port TCP port
 * @param zone availability zone
 * @param leaving whether operators have marked the target as leaving, which stops new calls to it
 */
public record TargetConfig(String id, String host, int port, String zone, boolean leaving) {
    private static final int MAX_PORT = 65_535;

    public TargetConfig {
        checkArgument(!id.isEmpty(), "id must not be empty");
        checkArgument(port > 0 && port <= MAX_PORT, "port out of range: %s", port);
    }

    /** Returns {@code host:port}. */
    public String address() {
        return host + ":" + port;
    }
}
