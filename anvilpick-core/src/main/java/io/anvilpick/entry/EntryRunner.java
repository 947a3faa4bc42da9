package io.anvilpick.entry;

import io.anvilpick.calls.CallAnswer;
import io.anvilpick.calls.CallRequest;
import io.anvilpick.calls.CrashProtection;
import io.anvilpick.calls.LoadProber;
import io.anvilpick.calls.ParallelLoadProber;
import io.anvilpick.calls.ProbeClient;
import io.anvilpick.calls.SendPlan;
import io.anvilpick.calls.Sender;
import io.anvilpick.dispatch.Call;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.error.CallException;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.fleet.FleetView;
import io.anvilpick.routes.Route;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.routes.WeightedRoundRobin;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** Runs requests that are routed by host and path. Thread safe; each request blocks the calling thread. */
public final class EntryRunner {
    private static final String NO_TENANT = "";

    private final Supplier<FleetView> view;
    private final EntryDispatchers dispatchers;
    private final Sender sender;
    private final ProbeClient probes;
    private final CrashProtection crashes;
    private final EntryEvents events;
    private final TimeSource time;
    private final WeightedRoundRobin roundRobin = new WeightedRoundRobin();
    private final AtomicLong nextCallId = new AtomicLong();

    /** The dependencies of a runner. */
    public record Parts(
            Supplier<FleetView> view,
            EntryDispatchers dispatchers,
            Sender sender,
            ProbeClient probes,
            CrashProtection crashes,
            EntryEvents events,
            TimeSource time) {}

    /** Creates a runner. */
    public EntryRunner(Parts parts) {
        this.view = parts.view();
        this.dispatchers = parts.dispatchers();
        this.sender = parts.sender();
        this.probes = parts.probes();
        this.crashes = parts.crashes();
        this.events = parts.events();
        this.time = parts.time();
    }

    /**
     * Returns the complete answer to {@code request}.
     *
     * @throws CallException if the request fails; its kind states whether the request may have run
     * @throws InterruptedException if the caller disconnected
     */
    public CallAnswer run(EntryRequest request) throws CallException, InterruptedException {
        EntryTrace trace = new EntryTrace(request, time);
        events.begin(trace, nextCallId.incrementAndGet());
        try {
            CallAnswer answer = runTraced(request, trace);
            events.answered(trace, answer);
            return answer;
        } catch (CallException e) {
            events.failed(trace, e);
            throw e;
        } catch (InterruptedException e) {
            events.abandoned(trace);
            throw e;
        }
    }

    /**
     * Sets the time after which the daemon delivers no more answers. Requests that wait for a target and cannot be answered by then
     * are refused, and so are later ones.
     */
    public void stopBy(Deadline end) {
        dispatchers.stopBy(end).forEach(sender::wake);
    }

    private CallAnswer runTraced(EntryRequest request, EntryTrace trace) throws CallException, InterruptedException {
        RouteConfiguration configuration = view.get()
                .configuration()
                .orElseThrow(() -> new CallException(
                        ErrorKind.NO_CONFIGURATION, "no configuration is in force on this daemon yet"));
        trace.configuration(configuration.version());
        if (request.body().length > configuration.limits().maxBodyBytes()) {
            throw new CallException(
                    ErrorKind.BODY_TOO_LARGE,
                    "body: has " + request.body().length + " bytes, and at most "
                            + configuration.limits().maxBodyBytes() + " are allowed");
        }
        Route route = configuration
                .routes()
                .find(request.host(), request.pathWithoutQuery())
                .orElseThrow(() -> new CallException(
                        ErrorKind.UNKNOWN_REQUEST, "path: no route of host '" + request.host() + "' matches it"));
        String service = roundRobin.next(route);
        trace.routed(route, service);
        Optional<Dispatcher> dispatcher = dispatchers.find(service);
        if (dispatcher.isEmpty()) {
            throw new CallException(ErrorKind.NO_TARGET, "no target of service " + service + " is known");
        }
        CallRequest callRequest = callRequestOf(request, route, service);
        crashes.awaitPermission(callRequest);
        return sender.send(
                dispatcher.get(),
                callOf(request, route, trace),
                callRequest,
                new SendPlan(route.attempts(), true, proberOf(configuration, service)));
    }

    private LoadProber proberOf(RouteConfiguration configuration, String service) {
        return Optional.ofNullable(configuration.services().get(service))
                .flatMap(RouteConfiguration.ServiceSettings::healthPath)
                .<LoadProber>map(path -> new ParallelLoadProber(probes, path))
                .orElseGet(LoadProber::none);
    }

    private static Deadline deadlineAfter(EntryRequest request, long millis) {
        return new Deadline(request.arrivedNanos() + Duration.ofMillis(millis).toNanos());
    }

    private static Deadline deadlineOf(EntryRequest request, Route route) {
        return request.deadline().earlier(deadlineAfter(request, route.timeoutMillis()));
    }

    private static Call callOf(EntryRequest request, Route route, EntryTrace trace) {
        Deadline deadline = deadlineOf(request, route);
        Deadline goal = deadline.earlier(deadlineAfter(request, route.goalMillis()));
        return new Call(trace.callId(), NO_TENANT, route.requestClass(), deadline, goal);
    }

    private static CallRequest callRequestOf(EntryRequest request, Route route, String service) {
        return new CallRequest(
                service,
                NO_TENANT,
                request.method(),
                request.path(),
                request.headers(),
                request.body(),
                Optional.empty(),
                deadlineOf(request, route),
                0);
    }
}
