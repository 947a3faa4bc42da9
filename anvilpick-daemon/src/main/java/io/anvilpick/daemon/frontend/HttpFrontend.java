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
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.function.Supplier;

/** The HTTP server for callers, operators' tools and metrics scrapers. Thread safe. */
public final class HttpFrontend implements AutoCloseable {
    private static final Duration SHUTDOWN_QUIET_PERIOD = Duration.ofMillis(500);
    private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(30);

    /** Time to send the refusals of calls that cannot be answered before {@link #SHUTDOWN_TIMEOUT}. */
    private static final Duration REFUSAL_TIME = Duration.ofMillis(200);

    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration REQUEST_TIMEOUT = Duration.ofMinutes(11);
    private static final MediaType PROMETHEUS_TEXT = MediaType.parse("text/plain; version=0.0.4; charset=utf-8");

    private final JsonMapper json =
            JsonMapper.builder().addModule(new GuavaModule()).build();
    private final LeavingState leavingState = new LeavingState();
    private final Parts parts;
    private final Server server;

    /**
     * The collaborators and limits of the front end.
     *
     * @param maxBodyBytes maximum size of a request body
     * @param maxHeldBytes maximum bytes of bodies held in memory; new calls beyond it are rejected
     * @param executor runs calls
     * @param status supplies the content of the status page
     * @param metrics supplies the metrics in the Prometheus text format
     */
    public record Parts(
            InetSocketAddress address,
            long maxBodyBytes,
            long maxHeldBytes,
            CallRunner runner,
            ActiveConfiguration activeConfiguration,
            AddressSelector addressSelector,
            ExecutorService executor,
            TimeSource time,
            Supplier<StatusPage> status,
            Supplier<String> metrics) {}

    /** Creates a server that does not listen yet. */
    public HttpFrontend(Parts parts) {
        this.parts = parts;
        CallService calls = new CallService(
                parts.runner(), parts.executor(), parts.time(), leavingState, HeldBytes.atMost(parts.maxHeldBytes()));
        this.server = Server.builder()
                .port(parts.address(), SessionProtocol.HTTP)
                .maxRequestLength(parts.maxBodyBytes())
                .requestTimeout(REQUEST_TIMEOUT)
                .idleTimeout(IDLE_TIMEOUT)
                .gracefulShutdownTimeout(SHUTDOWN_QUIET_PERIOD, SHUTDOWN_TIMEOUT)
                .service("/anvilpick/v1/address", (context, request) -> address(context))
                .service("/anvilpick/v1/health", (context, request) -> HttpResponse.of(HttpStatus.OK))
                .service("/anvilpick/v1/ready", (context, request) -> ready())
                .service(
                        "/anvilpick/v1/status",
                        (context, request) -> jsonResponse(parts.status().get()))
                .service("/anvilpick/v1/metrics", (context, request) -> metrics())
                .service("regex:^/s/(?<service>[^/]+)(/.*)?$", calls)
                .build();
    }

    /** Starts the server, blocking until it listens. */
    public void start() {
        server.start().join();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return server.activeLocalPort();
    }

    /**
     * Starts to drain. Calls are still served, and answers other than errors ask callers to close their connections.
     * The readiness check fails from now on.
     */
    public void leave() {
        leavingState.leave();
    }

    /**
     * Stops the server, blocking until the calls in flight have ended. Closes it after 30 seconds even if targets are
     * still working on calls. Calls that wait for a target are refused if they cannot be answered by then.
     */
    @Override
    public void close() {
        parts.runner().stopBy(Deadline.after(parts.time(), SHUTDOWN_TIMEOUT.minus(REFUSAL_TIME)));
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
        Optional<AddressAnswer> selected = parts.addressSelector().select(service.get(), zone == null ? "" : zone);
        return selected.map(this::jsonResponse)
                .orElseGet(() -> ErrorAnswers.of(ErrorKind.SHUTTING_DOWN, "no daemon is live"));
    }

    private HttpResponse ready() {
        boolean ready = !leavingState.isLeaving() && parts.activeConfiguration().version() > 0;
        return HttpResponse.of(ready ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE);
    }

    private HttpResponse metrics() {
        return HttpResponse.of(HttpStatus.OK, PROMETHEUS_TEXT, parts.metrics().get());
    }

    private HttpResponse jsonResponse(Object body) {
        try {
            return HttpResponse.of(HttpStatus.OK, MediaType.JSON_UTF_8, json.writeValueAsString(body));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("response body could not be serialized as JSON", e);
        }
    }
}
