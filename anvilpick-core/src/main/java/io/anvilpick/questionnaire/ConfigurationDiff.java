package io.anvilpick.questionnaire;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.Configuration;
import io.anvilpick.config.Contract;
import io.anvilpick.config.Operator;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.config.TenantConfig;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** Lists the differences between two configurations as readable lines. */
public final class ConfigurationDiff {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final List<String> lines = new ArrayList<>();

    private ConfigurationDiff() {}

    /**
     * Returns one line for each difference: {@code +} added, {@code -} removed, {@code ~} changed.
     *
     * @param before the earlier configuration, or null if there is none
     */
    public static ImmutableList<String> between(@Nullable Configuration before, Configuration after) {
        ConfigurationDiff diff = new ConfigurationDiff();
        diff.compareContract(before == null ? null : before.contract(), after.contract());
        diff.compareAll(
                "tenant",
                before == null ? List.of() : before.tenants(),
                after.tenants(),
                TenantConfig::name,
                tenant -> "weight " + tenant.weight());
        diff.compareServices(before == null ? Map.of() : before.services(), after.services());
        return ImmutableList.copyOf(diff.lines);
    }

    private void compareContract(@Nullable Contract before, Contract after) {
        compare("operator", before == null ? null : describe(before.operator()), describe(after.operator()));
        compare("term", before == null ? null : describeTerm(before), describeTerm(after));
        compare("contract epoch", before == null ? null : before.epoch(), after.epoch());
        compare(
                "next operator",
                before == null
                        ? null
                        : before.next().map(ConfigurationDiff::describe).orElse(null),
                after.next().map(ConfigurationDiff::describe).orElse(null));
    }

    private void compareServices(Map<String, ServiceConfig> before, Map<String, ServiceConfig> after) {
        TreeSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            compareService(name, before.get(name), after.get(name));
        }
    }

    private void compareService(String name, @Nullable ServiceConfig before, @Nullable ServiceConfig after) {
        String subject = "service " + name;
        if (after == null) {
            lines.add("- " + subject);
            return;
        }
        if (before == null) {
            lines.add("+ " + subject);
        }
        compareLimits(subject, before, after);
        compareAll(
                subject + " request",
                before == null ? List.of() : before.requests(),
                after.requests(),
                RequestConfig::name,
                ConfigurationDiff::describe);
        compareAll(
                subject + " target",
                before == null ? List.of() : before.targets(),
                after.targets(),
                TargetConfig::id,
                ConfigurationDiff::describe);
    }

    private void compareLimits(String subject, @Nullable ServiceConfig before, ServiceConfig after) {
        compareLimit(subject + " slots per target", before, after, ServiceConfig::slotsPerTarget);
        compareLimit(subject + " connections per target", before, after, ServiceConfig::connectionsPerTarget);
        compareLimit(subject + " measuring budget in thousandths", before, after, ServiceConfig::measuringPerMille);
        compareLimit(subject + " homes", before, after, ServiceConfig::homes);
        compareLimit(
                subject + " idempotency key retention in seconds",
                before,
                after,
                service -> service.keyMemoryMillis() / MILLIS_PER_SECOND);
    }

    private void compareLimit(
            String subject,
            @Nullable ServiceConfig before,
            ServiceConfig after,
            Function<ServiceConfig, Object> limit) {
        compare(subject, before == null ? null : limit.apply(before), limit.apply(after));
    }

    private <T> void compareAll(
            String subject, List<T> before, List<T> after, Function<T, String> name, Function<T, String> describe) {
        Map<String, T> beforeByName = byName(before, name);
        Map<String, T> afterByName = byName(after, name);
        TreeSet<String> names = new TreeSet<>(beforeByName.keySet());
        names.addAll(afterByName.keySet());
        for (String key : names) {
            T beforeItem = beforeByName.get(key);
            T afterItem = afterByName.get(key);
            compare(
                    subject + " " + key,
                    beforeItem == null ? null : describe.apply(beforeItem),
                    afterItem == null ? null : describe.apply(afterItem));
        }
    }

    private static <T> Map<String, T> byName(Collection<T> all, Function<T, String> name) {
        return all.stream().collect(Collectors.toMap(name, Function.identity()));
    }

    private void compare(String subject, @Nullable Object before, @Nullable Object after) {
        if (Objects.equals(before, after)) {
            return;
        }
        if (before == null) {
            lines.add("+ " + subject + ": " + after);
            return;
        }
        if (after == null) {
            lines.add("- " + subject + ": " + before);
            return;
        }
        lines.add("~ " + subject + ": " + before + " -> " + after);
    }

    private static String describe(Operator operator) {
        return operator.name() + " with public key " + operator.publicKey();
    }

    private static String describeTerm(Contract contract) {
        return contract.term() + " until " + Instant.ofEpochMilli(contract.endsAtMillis());
    }

    private static String describe(RequestConfig request) {
        String idempotency = request.idempotent() ? "idempotent" : "non-idempotent";
        String key = request.keyRequired() ? ", key required" : "";
        return request.method() + " " + request.pathPrefix() + ", " + idempotency + key + ", answer within "
                + request.timeoutMillis() + " ms, priority " + request.priority();
    }

    private static String describe(TargetConfig target) {
        return target.address() + " in " + target.zone() + (target.leaving() ? ", leaving" : "");
    }
}
