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
 * A mapping in the questionnaire, read field by field. Not thread safe.
 *
 * <p>A method that finds an error adds it to a list and returns a placeholder. Reading therefore continues, and one run
 * finds all errors.
 */
final class Section {
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h|d)");
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

    private final String path;
    private final JsonNode node;
    private final List<FieldError> errors;
    private final Set<String> readFields = new HashSet<>();

    Section(String path, JsonNode node, List<FieldError> errors) {
        this.path = path;
        this.node = node;
        this.errors = errors;
        if (!node.isObject()) {
            errors.add(new FieldError(path, text(node), "must be a mapping"));
        }
    }

    /** Returns a required name of lower-case letters, digits and hyphens. */
    String name(String field) {
        String value = text(field);
        if (!value.isEmpty() && !NAME.matcher(value).matches()) {
            addError(
                    field,
                    value,
                    "must be 1 to 63 lower-case letters, digits or hyphens, and must not start with a hyphen");
        }
        return value;
    }

    /** Returns the text of a required scalar that is not blank. A number or a boolean is returned as text. */
    String text(String field) {
        JsonNode value = child(field);
        if (value.isMissingNode() || value.isNull()) {
            addError(field, "", "is missing");
            return "";
        }
        if (!value.isValueNode() || value.asText().isBlank()) {
            addError(field, text(value), "must be a non-blank string");
            return "";
        }
        return value.asText();
    }

    /** Returns whether {@code field} is present and not null. */
    boolean has(String field) {
        JsonNode value = child(field);
        return !value.isMissingNode() && !value.isNull();
    }

    /** Returns a required whole number from {@code min} to {@code max}. */
    int wholeNumber(String field, int min, int max) {
        JsonNode value = child(field);
        if (value.isMissingNode() || value.isNull()) {
            addError(field, "", "is missing");
            return min;
        }
        if (!value.isIntegralNumber() || !value.canConvertToInt()) {
            addError(field, text(value), "must be a whole number");
            return min;
        }
        if (value.intValue() < min || value.intValue() > max) {
            addError(field, text(value), "must be a whole number from " + min + " to " + max);
            return min;
        }
        return value.intValue();
    }

    /** Returns a required percentage from zero to {@code max}, converted to thousandths and rounded. */
    int percentAsPerMille(String field, int max) {
        JsonNode value = child(field);
        if (!value.isNumber()) {
            addError(field, text(value), value.isMissingNode() ? "is missing" : "must be a percentage");
            return 0;
        }
        if (value.doubleValue() < 0 || value.doubleValue() > max) {
            addError(field, text(value), "must be from 0 to " + max + " percent");
            return 0;
        }
        return (int) Math.round(value.doubleValue() * 10);
    }

    /** Returns whether {@code field} is yes or true, or {@code defaultValue} if it is missing. */
    boolean yesOrNo(String field, boolean defaultValue) {
        JsonNode value = child(field);
        if (value.isMissingNode() || value.isNull()) {
            return defaultValue;
        }
        return switch (value.asText()) {
            case "yes", "true" -> true;
            case "no", "false" -> false;
            default -> {
                addError(field, text(value), "must be yes or no");
                yield defaultValue;
            }
        };
    }

    /** Returns a required string that is one of {@code choices}. */
    String choice(String field, List<String> choices) {
        String value = text(field);
        if (!value.isEmpty() && !choices.contains(value)) {
            addError(field, value, "must be one of " + String.join(", ", choices));
            return choices.get(0);
        }
        return value;
    }

    /** Returns a required positive duration, such as {@code 250ms} or {@code 24h}. */
    Duration duration(String field) {
        String value = text(field);
        if (value.isEmpty()) {
            return Duration.ofMillis(1);
        }
        Matcher matcher = DURATION.matcher(value);
        if (!matcher.matches() || Long.parseLong(matcher.group(1)) == 0) {
            addError(field, value, "must be a positive whole number followed by ms, s, m, h or d, such as 250ms");
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

    /** Returns a required point in time in ISO 8601 format with a time zone. */
    Instant instant(String field) {
        String value = text(field);
        if (value.isEmpty()) {
            return Instant.EPOCH;
        }
        try {
            return Instant.parse(value);
        } catch (DateTimeParseException e) {
            addError(field, value, "must be an ISO 8601 time with a time zone, such as 2027-10-01T00:00:00Z");
            return Instant.EPOCH;
        }
    }

    /** Returns the required mapping under {@code field}. */
    Optional<Section> section(String field) {
        if (!has(field)) {
            addError(field, "", "is missing");
            return Optional.empty();
        }
        return Optional.of(new Section(pathOf(field), child(field), errors));
    }

    /** Returns the mappings in the required list under {@code field}, which must have at least one entry. */
    ImmutableList<Section> sections(String field) {
        JsonNode list = child(field);
        if (!list.isArray() || list.isEmpty()) {
            addError(field, list.isArray() ? "" : text(list), "must be a list with at least one entry");
            return ImmutableList.of();
        }
        ImmutableList.Builder<Section> sections = ImmutableList.builder();
        for (int index = 0; index < list.size(); index++) {
            sections.add(new Section(pathOf(field) + "[" + index + "]", list.get(index), errors));
        }
        return sections.build();
    }

    /**
     * Returns the strings in the required list under {@code field}, which must have at least one entry. The entries
     * themselves are not checked.
     */
    ImmutableList<String> texts(String field) {
        JsonNode list = child(field);
        if (!list.isArray() || list.isEmpty()) {
            addError(field, list.isArray() ? "" : text(list), "must be a list with at least one entry");
            return ImmutableList.of();
        }
        List<String> texts = new ArrayList<>();
        list.forEach(entry -> texts.add(entry.asText()));
        return ImmutableList.copyOf(texts);
    }

    /** Adds an error for {@code field}. */
    void addError(String field, String value, String reason) {
        errors.add(new FieldError(pathOf(field), value, reason));
    }

    /** Adds an error for every field that no method has read, which is usually a misspelled name. */
    void rejectUnknownFields() {
        node.fieldNames().forEachRemaining(field -> {
            if (!readFields.contains(field)) {
                addError(field, "", "is not a field of the questionnaire");
            }
        });
    }

    private JsonNode child(String field) {
        readFields.add(field);
        return node.path(field);
    }

    private String pathOf(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    private static String text(JsonNode value) {
        return value.isValueNode() ? value.asText() : value.toString();
    }
}
