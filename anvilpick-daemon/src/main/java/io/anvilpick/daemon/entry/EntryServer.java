package io.anvilpick.daemon.entry;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;

/** The HTTP server of an entry daemon: requests of callers, the metrics page and the pages of the platform. */
final class EntryServer {
    private static final MediaType METRICS_TEXT = MediaType.parse("text/plain; version=0.0.4; charset=utf-8");
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(2);
    private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;
    private static final int MAX_HEADER_BYTES = 64 * 1024;

    /** A page at {@code path}, for which the server listens on {@code address} too. */
    record Page(InetSocketAddress address, String path, HttpService service) {}

    private EntryServer() {}

    /**
     * Creates a server that does not listen yet.
     *
     * @param requests takes the requests of callers
     * @param metrics supplies the metrics page
     */
    static Server create(EntrySettings settings, HttpService requests, Supplier<String> metrics, List<Page> pages) {
        int metricsPort = settings.metricsAddress().getPort();
        ServerBuilder server = Server.builder()
                .port(settings.callAddress(), SessionProtocol.HTTP)
                .port(settings.metricsAddress(), SessionProtocol.HTTP)
                .requestTimeoutMillis(0)
                .maxRequestLength(MAX_BODY_BYTES)
                .http1MaxHeaderSize(MAX_HEADER_BYTES)
                .http1MaxInitialLineLength(MAX_HEADER_BYTES)
                .idleTimeout(IDLE_TIMEOUT)
                .gracefulShutdownTimeoutMillis(0, 0)
                .serviceUnder("/", requests);
        for (Page page : pages) {
            if (page.address().getPort() != metricsPort) {
                server.port(page.address(), SessionProtocol.HTTP);
            }
            server.virtualHost(page.address().getPort()).service(page.path(), page.service());
        }
        server.virtualHost(metricsPort)
                .service("/metrics", (context, request) -> HttpResponse.of(HttpStatus.OK, METRICS_TEXT, metrics.get()));
        return server.build();
    }
}
