package io.anvilpick.questionnaire;

/**
 * An error in one field of a questionnaire.
 *
 * @param field path of the field, such as {@code services[2].targets[0].address}
 * @param value value that was found, or the empty string if there was none
 * @param reason why the value cannot be used
 */
public record FieldError(String field, String value, String reason) {
    @Override
    public String toString() {
        return field + ": " + (value.isEmpty() ? "" : "'" + value + "': ") + reason;
    }
}
