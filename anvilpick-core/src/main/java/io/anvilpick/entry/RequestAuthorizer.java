package io.anvilpick.entry;

import com.google.common.collect.ImmutableList;
import io.anvilpick.calls.Header;
import io.anvilpick.error.CallException;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.routes.Route;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.tenants.Tenant;
import io.anvilpick.tenants.TenantHeaders;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Decides which tenant sends a request and whether it may, by API keys. Thread safe.
 *
 * <p>If a configuration has tenants, a request without a route or without a valid key is rejected for good only while this daemon's
 * view of the store is current. Otherwise a newer configuration may allow it, and the caller is asked to come back.
 */
public final class RequestAuthorizer {
    private final TenantHeaders names;
    private final BooleanSupplier viewIsOld;

    /**
     * Creates an authorizer.
     *
     * @param viewIsOld returns whether a newer configuration may be in force than the one that this daemon has
     */
    public RequestAuthorizer(TenantHeaders names, BooleanSupplier viewIsOld) {
        this.names = names;
        this.viewIsOld = viewIsOld;
    }

    /** Returns the failure of a request that no route of {@code configuration} matches. */
    CallException noRoute(RouteConfiguration configuration, EntryRequest request) {
        if (mayBeOld(configuration)) {
            return oldConfiguration();
        }
        return new CallException(
                ErrorKind.UNKNOWN_REQUEST, "path: no route of host '" + request.host() + "' matches it");
    }

    /**
     * Returns the tenant that sends {@code request}; empty if the configuration has no tenants, or if the route is public and the
     * request has no valid key.
     *
     * @throws CallException if the request needs a key and has no valid one
     */
    Optional<Tenant> tenantOf(RouteConfiguration configuration, Route route, EntryRequest request)
            throws CallException {
        Optional<Tenant> tenant = request.credential().flatMap(configuration.tenants()::find);
        if (isAllowed(configuration, route, tenant)) {
            return tenant;
        }
        throw mayBeOld(configuration)
                ? oldConfiguration()
                : new CallException(
                        ErrorKind.UNKNOWN_CREDENTIAL, names.credential() + ": must be an API key of a tenant");
    }

    /**
     * Returns why a request that was accepted by an earlier configuration may not be sent by {@code current}; empty if it may. A
     * request whose route is gone is sent, because it was accepted while the route was in force.
     */
    Optional<ErrorKind> refusalOfSend(RouteConfiguration current, Route route, EntryRequest request) {
        Optional<Tenant> tenant = request.credential().flatMap(current.tenants()::find);
        return isAllowed(current, route, tenant) ? Optional.empty() : Optional.of(ErrorKind.UNKNOWN_CREDENTIAL);
    }

    /** Returns the headers to forward: without the key, and with the name of the tenant in place of one that the caller sent. */
    ImmutableList<Header> forwardedHeaders(
            RouteConfiguration configuration, EntryRequest request, Optional<Tenant> tenant) {
        if (configuration.tenants().isEmpty()) {
            return withCredential(request);
        }
        ImmutableList.Builder<Header> headers = ImmutableList.builder();
        for (Header header : request.headers()) {
            if (!header.name().equalsIgnoreCase(names.tenant())) {
                headers.add(header);
            }
        }
        tenant.ifPresent(each -> headers.add(new Header(names.tenant(), each.name())));
        return headers.build();
    }

    /** Returns all headers of the caller. Without tenants, the header of the key has no meaning to the daemon. */
    private ImmutableList<Header> withCredential(EntryRequest request) {
        if (request.credential().isEmpty()) {
            return request.headers();
        }
        return ImmutableList.<Header>builder()
                .addAll(request.headers())
                .add(new Header(names.credential(), request.credential().get().key()))
                .build();
    }

    private static boolean isAllowed(RouteConfiguration configuration, Route route, Optional<Tenant> tenant) {
        return configuration.tenants().isEmpty() || route.publicAccess() || tenant.isPresent();
    }

    private boolean mayBeOld(RouteConfiguration configuration) {
        return !configuration.tenants().isEmpty() && viewIsOld.getAsBoolean();
    }

    private static CallException oldConfiguration() {
        return new CallException(
                ErrorKind.CONFIGURATION_MAY_BE_OLD, "the configuration of this daemon may not be the newest one");
    }
}
