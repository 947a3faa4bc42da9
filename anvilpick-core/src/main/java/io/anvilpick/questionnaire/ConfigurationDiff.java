package io.anvilpick.questionnaire;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.Configuration;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** Lists in readable lines what changes from one configuration to another. */
public final class ConfigurationDiff {
    private final List<String> lines = new ArrayList<>();

    private ConfigurationDiff() {}

    /** Returns one line for each difference: {@code +} added, {@code -} removed, {@code ~} changed. */
    public static ImmutableList<String> between(@Nullable Configuration before, Configuration after) {
        ConfigurationDiff diff = new ConfigurationDiff();
        diff.compare("contract", before == null ? null : before.contract(), after.contract());
        diff.compareAll(
                "tenant", before == null ? List.of() : before.tenants(), after.tenants(), tenant -> tenant.name());
        diff.compareServices(before == null ? Map.of() : before.services(), after.services());
        return ImmutableList.copyOf(diff.lines);
    }

    private void compareServices(Map<String, ServiceConfig> before, Map<String, ServiceConfig> after) {
        TreeSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            compareService(name, before.get(name), after.get(name));
        }
    }

    private void compareService(String name, @Nullable ServiceConfig before, @Nullable ServiceConfig after) {
        if (Objects.equals(before, after)) {
            return;
        }
        String what = "service " + name;
        if (before == null || after == null) {
            lines.add((before == null ? "+ " : "- ") + what);
        } else {
            compare(what + " limits", limitsOf(before), limitsOf(after));
        }
        List<RequestConfig> requestsBefore = before == null ? List.of() : before.requests();
        List<TargetConfig> targetsBefore = before == null ? List.of() : before.targets();
        if (after == null) {
            return;
        }
        compareAll(what + " request", requestsBefore, after.requests(), RequestConfig::name);
        compareAll(what + " target", targetsBefore, after.targets(), TargetConfig::id);
    }

    private static String limitsOf(ServiceConfig service) {
        return "slots=" + service.slotsPerTarget()
                + " connections=" + service.connectionsPerTarget()
                + " measuring_per_mille=" + service.measuringPerMille()
                + " homes=" + service.homes()
                + " key_memory_ms=" + service.keyMemoryMillis();
    }

    private <T> void compareAll(String what, List<T> before, List<T> after, Function<T, String> name) {
        Map<String, T> old = byName(before, name);
        Map<String, T> fresh = byName(after, name);
        TreeSet<String> names = new TreeSet<>(old.keySet());
        names.addAll(fresh.keySet());
        for (String each : names) {
            compare(what + " " + each, old.get(each), fresh.get(each));
        }
    }

    private static <T> Map<String, T> byName(Collection<T> all, Function<T, String> name) {
        return all.stream().collect(Collectors.toMap(name, Function.identity()));
    }

    private void compare(String what, @Nullable Object before, @Nullable Object after) {
        if (Objects.equals(before, after)) {
            return;
        }
        if (before == null) {
            lines.add("+ " + what + ": " + after);
            return;
        }
        if (after == null) {
            lines.add("- " + what);
            return;
        }
        lines.add("~ " + what + ": " + before + " -> " + after);
    }
}
