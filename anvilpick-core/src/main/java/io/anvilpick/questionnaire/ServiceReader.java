package io.anvilpick.questionnaire;

import com.google.common.base.CharMatcher;
import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Reads one service of a questionnaire. Not thread safe. */
final class ServiceReader {
    private static final int MAX_SLOTS = 10_000;
    private static final int MAX_CONNECTIONS = 100_000;
    private static final int MAX_MEASURING_PERCENT = 10;
    private static final int MAX_CALLS_PER_SECOND = 1_400_000;
    private static final ImmutableList<String> METHODS =
            ImmutableList.of("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH");
    private static final ImmutableList<String> URGENCIES = ImmutableList.of("high", "normal", "low");

    /** Calls per second of one service that one home daemon handles before another is added. */
    private static final int CALLS_PER_SECOND_PER_HOME = 5_000;

    private final Set<String> zones;

    ServiceReader(Set<String> zones) {
        this.zones = zones;
    }

    /** Returns the service, or empty if errors prevent it from being built. */
    Optional<ServiceConfig> read(Section section) {
        String name = section.name("name");
        int slots = section.wholeNumber("slotsPerTarget", 1, MAX_SLOTS);
        int connections = section.wholeNumber("connectionsPerTarget", 1, MAX_CONNECTIONS);
        int measuring = section.percentAsPerMille("measuringBudgetPercent", MAX_MEASURING_PERCENT);
        int callsPerSecond = section.wholeNumber("callsPerSecond", 1, MAX_CALLS_PER_SECOND);
        long keyMemoryMillis = section.duration("rememberKeysFor").toMillis();
        ImmutableList<RequestConfig> requests = readRequests(section);
        ImmutableList<TargetConfig> targets = readTargets(section);
        section.rejectUnknownFields();
        if (name.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(ServiceConfig.builder(name)
                .slotsPerTarget(slots)
                .connectionsPerTarget(connections)
                .measuringPerMille(measuring)
                .homes(homeCount(callsPerSecond))
                .keyMemoryMillis(keyMemoryMillis)
                .requests(requests)
                .targets(targets)
                .build());
    }

    private static int homeCount(int callsPerSecond) {
        return (callsPerSecond + CALLS_PER_SECOND_PER_HOME - 1) / CALLS_PER_SECOND_PER_HOME;
    }

    private static ImmutableList<RequestConfig> readRequests(Section service) {
        ImmutableList.Builder<RequestConfig> requests = ImmutableList.builder();
        Set<String> names = new HashSet<>();
        for (Section section : service.sections("requests")) {
            readRequest(section).ifPresent(request -> {
                if (!names.add(request.name())) {
                    section.addError("name", request.name(), "is used twice");
                    return;
                }
                requests.add(request);
            });
        }
        return requests.build();
    }

    private static Optional<RequestConfig> readRequest(Section section) {
        String name = section.name("name");
        String method = section.choice("method", METHODS);
        String path = section.text("path");
        boolean nonIdempotent = section.yesOrNo("nonIdempotent", false);
        boolean keyRequired = section.yesOrNo("keyRequired", nonIdempotent);
        long timeoutMillis = section.duration("answerWithin").toMillis();
        String urgency = section.choice("urgency", URGENCIES);
        section.rejectUnknownFields();
        if (!path.isEmpty() && !path.startsWith("/")) {
            section.addError("path", path, "must start with a slash");
            return Optional.empty();
        }
        if (keyRequired && !nonIdempotent) {
            section.addError("keyRequired", "yes", "is allowed only if nonIdempotent is yes");
            return Optional.empty();
        }
        if (name.isEmpty() || path.isEmpty()) {
            return Optional.empty();
        }
        int priority = Math.max(0, URGENCIES.indexOf(urgency));
        return Optional.of(new RequestConfig(name, method, path, !nonIdempotent, keyRequired, timeoutMillis, priority));
    }

    private ImmutableList<TargetConfig> readTargets(Section service) {
        ImmutableList.Builder<TargetConfig> targets = ImmutableList.builder();
        Set<String> ids = new HashSet<>();
        Set<String> addresses = new HashSet<>();
        for (Section section : service.sections("targets")) {
            readTarget(section).ifPresent(target -> {
                if (!ids.add(target.id())) {
                    section.addError("id", target.id(), "is used twice");
                    return;
                }
                if (!addresses.add(target.address())) {
                    section.addError("address", target.address(), "is used twice");
                    return;
                }
                targets.add(target);
            });
        }
        return targets.build();
    }

    private Optional<TargetConfig> readTarget(Section section) {
        String id = section.name("id");
        String address = section.text("address");
        String zone = section.text("zone");
        boolean leaving = section.yesOrNo("leaving", false);
        section.rejectUnknownFields();
        if (!zone.isEmpty() && !zones.contains(zone)) {
            section.addError("zone", zone, "must be one of the zones of the questionnaire");
        }
        if (id.isEmpty() || address.isEmpty()) {
            return Optional.empty();
        }
        return parseAddress(section, address)
                .map(parsed -> new TargetConfig(id, parsed.getHost(), parsed.getPort(), zone, leaving));
    }

    private static Optional<HostAndPort> parseAddress(Section section, String address) {
        try {
            HostAndPort parsed = HostAndPort.fromString(address);
            boolean usable = InetAddresses.isInetAddress(parsed.getHost())
                    && CharMatcher.ascii().matchesAllOf(address)
                    && parsed.hasPort()
                    && parsed.getPort() > 0;
            if (usable) {
                return Optional.of(parsed);
            }
        } catch (IllegalArgumentException e) {
            // Reported below, as is an address that parses but is not an IP address with a port.
        }
        section.addError("address", address, "must be an IP address and port, such as 10.0.0.7:8080");
        return Optional.empty();
    }
}
