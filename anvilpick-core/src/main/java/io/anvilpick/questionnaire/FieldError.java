package io.anvilpick.questionnaire;

/**
 * One thing wrong with a questionnaire.
 *
 * @param field path of the field, such as {@code services[2].targets[0].address}
 * @param value what was found there
 * @param reason why it cannot be used
 */
public record FieldError(String field, String value, String reason) {
    @Override
    public String toString() {
        return field + ": " + (value.isEmpty() ? "" : "'" + value + "': ") + reason;
    }
}
