package io.anvilpick.daemon.frontend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.guava.GuavaModule;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.anvilpick.calls.CallRunner;
import io.anvilpick.config.ActiveConfiguration;
import io.anvilpick.config.Configuration;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.Snapshot;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.limits.HeldBytes;
import io.anvilpick.membership.AddressAnswer;
import io.anvilpick.membership.AddressSelector;
import io.anvilpick.time.TimeSource;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.function.Supplier;

/** The HTTP server towards callers, operators' tools and scrapers. Thread safe. */
public final class HttpFront implements AutoCloseable {
    private static final Duration QUIET_BEFORE_STOP = Duration.ofMillis(500);
    private static final Duration LONGEST_STOP = Duration.ofSeconds(30);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration REQUEST_TIMEOUT = Duration.ofMinutes(11);
    private static final MediaType SCRAPER_TEXT = MediaType.parse("text/plain; version=0.0.4; charset=utf-8");

    private final JsonMapper json =
            JsonMapper.builder().addModule(new GuavaModule()).build();
    private final Connections connections = new Connections();
    private final Parts parts;
    private final Server server;

    /**
     * What the front end shows.
     *
     * @param mostBodyBytes largest request body that is taken
     * @param mostHeldBytes bytes of bodies held at a time beyond which new calls are refused
     * @param threads where calls run
     * @param status the daemon's word of itself
     * @param metrics the counts in the text format of scrapers
     */
    public record Parts(
            InetSocketAddress address,
            long mostBodyBytes,
            long mostHeldBytes,
            CallRunner runner,
            ActiveConfiguration activeConfiguration,
            AddressSelector advisor,
            ExecutorService threads,
            TimeSource time,
            Supplier<StatusPage> status,
            Supplier<String> metrics) {}

    /** Creates a server that does not listen yet. */
    public HttpFront(Parts parts) {
        this.parts = parts;
        CallService calls = new CallService(
                parts.runner(), parts.threads(), parts.time(), connections, HeldBytes.atMost(parts.mostHeldBytes()));
        this.server = Server.builder()
                .port(parts.address(), SessionProtocol.HTTP)
                .maxRequestLength(parts.mostBodyBytes())
                .requestTimeout(REQUEST_TIMEOUT)
                .idleTimeout(IDLE_TIMEOUT)
                .gracefulShutdownTimeout(QUIET_BEFORE_STOP, LONGEST_STOP)
                .service("/anvilpick/v1/address", (context, request) -> address(context))
                .service("/anvilpick/v1/health", (context, request) -> HttpResponse.of(HttpStatus.OK))
                .service("/anvilpick/v1/ready", (context, request) -> ready())
                .service(
                        "/anvilpick/v1/status",
                        (context, request) -> answer(parts.status().get()))
                .service("/anvilpick/v1/metrics", (context, request) -> metrics())
                .service("regex:^/s/(?<service>[^/]+)(/.*)?$", calls)
                .build();
    }

    /** Starts to listen, blocking until it does. */
    public void start() {
        server.start().join();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return server.activeLocalPort();
    }

    /** Asks callers to connect elsewhere from now on; calls are still served. */
    public void leave() {
        connections.leave();
    }

    /** Stops taking calls and blocks until those in flight have ended. */
    @Override
    public void close() {
        server.stop().join();
    }

    private HttpResponse address(ServiceRequestContext context) {
        String name = context.queryParam("service");
        String zone = context.queryParam("zone");
        if (name == null) {
            return ErrorAnswers.of(ErrorKind.INVALID_REQUEST, "service: is missing from the query");
        }
        Optional<Configuration> configuration =
                parts.activeConfiguration().snapshot().map(Snapshot::configuration);
        if (configuration.isEmpty()) {
            return ErrorAnswers.of(ErrorKind.NO_CONFIGURATION, "no configuration is in force on this daemon yet");
        }
        Optional<ServiceConfig> service = configuration.get().service(name);
        if (service.isEmpty()) {
            return ErrorAnswers.of(ErrorKind.UNKNOWN_SERVICE, "service: '" + name + "' is not in the configuration");
        }
        Optional<AddressAnswer> advice = parts.advisor().select(service.get(), zone == null ? "" : zone);
        return advice.map(this::answer).orElseGet(() -> ErrorAnswers.of(ErrorKind.SHUTTING_DOWN, "no daemon is live"));
    }

    private HttpResponse ready() {
        boolean ready = !connections.isLeaving() && parts.activeConfiguration().version() > 0;
        return HttpResponse.of(ready ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE);
    }

    private HttpResponse metrics() {
        return HttpResponse.of(HttpStatus.OK, SCRAPER_TEXT, parts.metrics().get());
    }

    private HttpResponse answer(Object body) {
        try {
            return HttpResponse.of(HttpStatus.OK, MediaType.JSON_UTF_8, json.writeValueAsString(body));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an answer cannot be written", e);
        }
    }
}
