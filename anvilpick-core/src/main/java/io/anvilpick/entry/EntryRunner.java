package io.anvilpick.entry;

import io.anvilpick.allowances.AllowanceDecision;
import io.anvilpick.allowances.AllowanceLimiter;
import io.anvilpick.allowances.AllowancePermit;
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
import io.anvilpick.error.AnswerTable;
import io.anvilpick.error.CallException;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.error.Outcome;
import io.anvilpick.fleet.FleetView;
import io.anvilpick.routes.Route;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.routes.WeightedRoundRobin;
import io.anvilpick.tenants.Tenant;
import io.anvilpick.tenants.TenantHeaders;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** Runs requests that are routed by host and path. Thread safe; each request blocks the calling thread. */
public final class EntryRunner {
    private static final String NO_TENANT = "";
    private static final TenantHeaders NO_HEADERS = new TenantHeaders("", "");

    private final Supplier<FleetView> view;
    private final EntryDispatchers dispatchers;
    private final Sender sender;
    private final ProbeClient probes;
    private final CrashProtection crashes;
    private final EntryEvents events;
    private final TimeSource time;
    private final RequestAuthorizer authorizer;
    private final AllowanceLimiter allowances;
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
            TimeSource time,
            RequestAuthorizer authorizer,
            AllowanceLimiter allowances) {
        /** Creates the dependencies of a runner that needs no keys and limits no tenants. */
        public Parts(
                Supplier<FleetView> view,
                EntryDispatchers dispatchers,
                Sender sender,
                ProbeClient probes,
                CrashProtection crashes,
                EntryEvents events,
                TimeSource time) {
            this(
                    view,
                    dispatchers,
                    sender,
                    probes,
                    crashes,
                    events,
                    time,
                    new RequestAuthorizer(NO_HEADERS, () -> false),
                    AllowanceLimiter.unlimited());
        }
    }

    /** Creates a runner. */
    public EntryRunner(Parts parts) {
        this.view = parts.view();
        this.dispatchers = parts.dispatchers();
        this.sender = parts.sender();
        this.probes = parts.probes();
        this.crashes = parts.crashes();
        this.events = parts.events();
        this.time = parts.time();
        this.authorizer = parts.authorizer();
        this.allowances = parts.allowances();
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
        } finally {
            events.end(trace);
        }
    }

    /**
     * Sets the time after which the daemon delivers no more answers. Requests that wait for a target and cannot be answered by then
     * are refused, and so are later ones.
     */
    public void stopBy(Deadline end) {
        dispatchers.stopBy(end).forEach(sender::wake);
    }

    /** Removes the state of routes that {@code inForce} lacks. */
    public void retain(RouteConfiguration inForce) {
        roundRobin.retain(inForce.routes());
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
                .orElseThrow(() -> authorizer.noRoute(configuration, request));
        Optional<Tenant> tenant = authorizer.tenantOf(configuration, route, request);
        tenant.ifPresent(each -> trace.tenant(each.name()));
        String service = roundRobin.next(route);
        trace.routed(route, service);
        Optional<Dispatcher> dispatcher = dispatchers.find(service);
        if (dispatcher.isEmpty()) {
            throw new CallException(ErrorKind.NO_TARGET, "no target of service " + service + " is known");
        }
        CallRequest callRequest = callRequestOf(request, route, service, configuration, tenant);
        crashes.awaitPermission(callRequest);
        SendPlan plan = new SendPlan(
                route.attempts(),
                true,
                proberOf(configuration, service),
                () -> refusalOfSend(configuration, route, request));
        Call call = callOf(request, route, trace, tenant);
        if (tenant.isEmpty()) {
            return sender.send(dispatcher.get(), call, callRequest, plan);
        }
        return sendWithinAllowance(dispatcher.get(), call, callRequest, plan, tenant.get());
    }

    private CallAnswer sendWithinAllowance(
            Dispatcher dispatcher, Call call, CallRequest request, SendPlan plan, Tenant tenant)
            throws CallException, InterruptedException {
        AllowancePermit permit =
                switch (allowances.acquire(tenant, call.deadline())) {
                    case AllowanceDecision.Within within -> within.permit();
                    case AllowanceDecision.Exceeded exceeded ->
                        throw new CallException(
                                ErrorKind.ALLOWANCE_EXCEEDED,
                                "tenant " + tenant.name() + " has used its allowance",
                                Optional.of(exceeded.retryAfter()));
                    case AllowanceDecision.Unavailable unavailable ->
                        throw new CallException(
                                ErrorKind.ALLOWANCE_UNAVAILABLE,
                                "no daemon that grants the allowance of tenant " + tenant.name() + " has answered",
                                Optional.of(unavailable.retryAfter()));
                };
        try {
            return sender.send(dispatcher, call, request, plan);
        } catch (CallException e) {
            if (AnswerTable.answerFor(e.kind()).outcome() == Outcome.NOT_RUN) {
                permit.giveBack();
            }
            throw e;
        }
    }

    /** Returns why a request may not be sent now, although the configuration by which it was accepted allowed it. */
    private Optional<ErrorKind> refusalOfSend(RouteConfiguration accepted, Route route, EntryRequest request) {
        return view.get()
                .configuration()
                .filter(current -> current != accepted)
                .flatMap(current -> authorizer.refusalOfSend(current, route, request));
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

    private static Call callOf(EntryRequest request, Route route, EntryTrace trace, Optional<Tenant> tenant) {
        Deadline deadline = deadlineOf(request, route);
        Deadline goal = deadline.earlier(deadlineAfter(request, route.goalMillis()));
        return new Call(
                trace.callId(),
                tenant.map(Tenant::name).orElse(NO_TENANT),
                tenant.map(route::requestClass).orElseGet(route::requestClass),
                deadline,
                goal);
    }

    private CallRequest callRequestOf(
            EntryRequest request,
            Route route,
            String service,
            RouteConfiguration configuration,
            Optional<Tenant> tenant) {
        return new CallRequest(
                service,
                tenant.map(Tenant::name).orElse(NO_TENANT),
                request.method(),
                request.path(),
                authorizer.forwardedHeaders(configuration, request, tenant),
                request.body(),
                Optional.empty(),
                deadlineOf(request, route),
                0);
    }
}
