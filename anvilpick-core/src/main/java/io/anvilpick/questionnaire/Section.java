package io.anvilpick.questionnaire;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A mapping in the questionnaire, read field by field; errors are collected and a stand-in value is returned, so that
 * reading goes on and every fault is found in one run. Not thread safe.
 */
final class Section {
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h|d)");
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

    private final String path;
    private final JsonNode node;
    private final List<FieldError> errors;
    private final Set<String> asked = new HashSet<>();

    Section(String path, JsonNode node, List<FieldError> errors) {
        this.path = path;
        this.node = node;
        this.errors = errors;
        if (!node.isObject()) {
            errors.add(new FieldError(path, text(node), "must be a mapping"));
        }
    }

    /** Returns a name of lower-case letters, digits and hyphens. */
    String name(String field) {
        String value = text(field);
        if (!value.isEmpty() && !NAME.matcher(value).matches()) {
            addError(field, value, "must be 1 to 63 lower-case letters, digits or hyphens, starting with no hyphen");
        }
        return value;
    }

    /** Returns a text that must be there. */
    String text(String field) {
        JsonNode value = child(field);
        if (value.isMissingNode() || value.isNull()) {
            addError(field, "", "is missing");
            return "";
        }
        if (!value.isValueNode() || value.asText().isBlank()) {
            addError(field, text(value), "must be a text");
            return "";
        }
        return value.asText();
    }

    /** Returns whether {@code field} is there. */
    boolean has(String field) {
        JsonNode value = child(field);
        return !value.isMissingNode() && !value.isNull();
    }

    /** Returns a whole number from {@code least} to {@code most}. */
    int wholeNumber(String field, int least, int most) {
        JsonNode value = child(field);
        if (value.isMissingNode() || value.isNull()) {
            addError(field, "", "is missing");
            return least;
        }
        if (!value.isIntegralNumber() || !value.canConvertToInt()) {
            addError(field, text(value), "must be a whole number");
            return least;
        }
        if (value.intValue() < least || value.intValue() > most) {
            addError(field, text(value), "must be from " + least + " to " + most);
            return least;
        }
        return value.intValue();
    }

    /** Returns a percentage as thousandths, from zero to {@code most} percent. */
    int percentAsPerMille(String field, int most) {
        JsonNode value = child(field);
        if (!value.isNumber()) {
            addError(field, text(value), value.isMissingNode() ? "is missing" : "must be a number of percent");
            return 0;
        }
        if (value.doubleValue() < 0 || value.doubleValue() > most) {
            addError(field, text(value), "must be from 0 to " + most + " percent");
            return 0;
        }
        return (int) Math.round(value.doubleValue() * 10);
    }

    /** Returns a yes or no. */
    boolean yesOrNo(String field, boolean whenMissing) {
        JsonNode value = child(field);
        if (value.isMissingNode() || value.isNull()) {
            return whenMissing;
        }
        return switch (value.asText()) {
            case "yes", "true" -> true;
            case "no", "false" -> false;
            default -> {
                addError(field, text(value), "must be yes or no");
                yield whenMissing;
            }
        };
    }

    /** Returns one of {@code choices}. */
    String choice(String field, List<String> choices) {
        String value = text(field);
        if (!value.isEmpty() && !choices.contains(value)) {
            addError(field, value, "must be one of " + String.join(", ", choices));
            return choices.get(0);
        }
        return value;
    }

    /** Returns a span of time such as {@code 250ms} or {@code 24h}. */
    Duration duration(String field) {
        String value = text(field);
        if (value.isEmpty()) {
            return Duration.ofMillis(1);
        }
        Matcher matcher = DURATION.matcher(value);
        if (!matcher.matches() || Long.parseLong(matcher.group(1)) == 0) {
            addError(field, value, "must be a positive number with ms, s, m, h or d, such as 250ms");
            return Duration.ofMillis(1);
        }
        long number = Long.parseLong(matcher.group(1));
        return switch (matcher.group(2)) {
            case "ms" -> Duration.ofMillis(number);
            case "s" -> Duration.ofSeconds(number);
            case "m" -> Duration.ofMinutes(number);
            case "h" -> Duration.ofHours(number);
            default -> Duration.ofDays(number);
        };
    }

    /** Returns a point in time in ISO 8601. */
    Instant instant(String field) {
        String value = text(field);
        if (value.isEmpty()) {
            return Instant.EPOCH;
        }
        try {
            return Instant.parse(value);
        } catch (DateTimeParseException e) {
            addError(field, value, "must be a time such as 2027-10-01T00:00:00Z");
            return Instant.EPOCH;
        }
    }

    /** Returns the mapping under {@code field}. */
    Optional<Section> section(String field) {
        if (!has(field)) {
            addError(field, "", "is missing");
            return Optional.empty();
        }
        return Optional.of(new Section(pathOf(field), child(field), errors));
    }

    /** Returns the mappings in the list under {@code field}, of which there must be one at least. */
    ImmutableList<Section> sections(String field) {
        JsonNode list = child(field);
        if (!list.isArray() || list.isEmpty()) {
            addError(field, list.isArray() ? "" : text(list), "must be a list with one entry at least");
            return ImmutableList.of();
        }
        ImmutableList.Builder<Section> sections = ImmutableList.builder();
        for (int index = 0; index < list.size(); index++) {
            sections.add(new Section(pathOf(field) + "[" + index + "]", list.get(index), errors));
        }
        return sections.build();
    }

    /** Returns the texts in the list under {@code field}, of which there must be one at least. */
    ImmutableList<String> texts(String field) {
        JsonNode list = child(field);
        if (!list.isArray() || list.isEmpty()) {
            addError(field, list.isArray() ? "" : text(list), "must be a list with one entry at least");
            return ImmutableList.of();
        }
        List<String> texts = new ArrayList<>();
        list.forEach(entry -> texts.add(entry.asText()));
        return ImmutableList.copyOf(texts);
    }

    /** Notes a fault of {@code field}. */
    void addError(String field, String value, String reason) {
        errors.add(new FieldError(pathOf(field), value, reason));
    }

    /** Notes every field that was never asked for, which is most often a slip of the pen. */
    void rejectUnknownFields() {
        node.fieldNames().forEachRemaining(field -> {
            if (!asked.contains(field)) {
                addError(field, "", "is not a field of the questionnaire");
            }
        });
    }

    private JsonNode child(String field) {
        asked.add(field);
        return node.path(field);
    }

    private String pathOf(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    private static String text(JsonNode value) {
        return value.isValueNode() ? value.asText() : value.toString();
    }
}
