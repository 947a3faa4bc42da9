package io.anvilpick.platform;

/**
 * A key's value as the platform holds it.
 *
 * @param key the key
 * @param value the value as UTF-8 text, at most a megabyte
 * @param revision rises with every write to the key; zero stands for an absent key
 */
public record Entry(String key, String value, long revision) {}
