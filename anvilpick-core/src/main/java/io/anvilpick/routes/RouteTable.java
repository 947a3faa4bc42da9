package io.anvilpick.routes;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The routes of one configuration. Immutable. */
public final class RouteTable {
    private final ImmutableMap<String, ImmutableList<Route>> byHost;
    private final int size;

    private RouteTable(ImmutableMap<String, ImmutableList<Route>> byHost, int size) {
        this.byHost = byHost;
        this.size = size;
    }

    /**
     * Returns a table of {@code routes}.
     *
     * @throws IllegalArgumentException if two routes have the same name, or the same host and prefix
     */
    public static RouteTable of(List<Route> routes) {
        Set<String> names = new HashSet<>();
        Set<String> hostPrefixes = new HashSet<>();
        Map<String, List<Route>> byHost = new HashMap<>();
        for (Route route : routes) {
            checkArgument(names.add(route.name()), "route %s occurs twice", route.name());
            checkArgument(
                    hostPrefixes.add(route.host() + route.prefix()),
                    "host and prefix of route %s occur twice: %s%s",
                    route.name(),
                    route.host(),
                    route.prefix());
            byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        ImmutableMap.Builder<String, ImmutableList<Route>> sorted = ImmutableMap.builder();
        byHost.forEach((host, routesOfHost) -> sorted.put(host, longestPrefixFirst(routesOfHost)));
        return new RouteTable(sorted.buildOrThrow(), routes.size());
    }

    private static ImmutableList<Route> longestPrefixFirst(List<Route> routes) {
        return routes.stream()
                .sorted(Comparator.<Route>comparingInt(route -> route.prefix().length())
                        .reversed())
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns the route of {@code host} with the longest prefix of {@code path}, or empty if no prefix matches. Takes
     * O(routes of the host).
     */
    public Optional<Route> find(String host, String path) {
        for (Route route : byHost.getOrDefault(host.toLowerCase(Locale.ROOT), ImmutableList.of())) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns all routes, grouped by host. */
    public ImmutableList<Route> all() {
        return byHost.values().stream().flatMap(List::stream).collect(ImmutableList.toImmutableList());
    }

    /** Returns the number of routes. */
    public int size() {
        return size;
    }

    /** Returns the names of the services that the routes refer to. */
    public ImmutableSet<String> services() {
        ImmutableSet.Builder<String> services = ImmutableSet.builder();
        byHost.values()
                .forEach(routes ->
                        routes.forEach(route -> route.backends().forEach(backend -> services.add(backend.service()))));
        return services.build();
    }
}
