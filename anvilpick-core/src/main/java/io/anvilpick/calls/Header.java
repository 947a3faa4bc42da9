package io.anvilpick.calls;

/**
 * A header of a request or an answer.
 *
 * @param name name in lower case
 * @param value value, unchanged
 */
public record Header(String name, String value) {}
