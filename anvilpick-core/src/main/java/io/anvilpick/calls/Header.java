package io.anvilpick.calls;

/**
 * A header of a request or an answer.
 *
 * @param name in lower case
 * @param value as sent
 */
public record Header(String name, String value) {}
