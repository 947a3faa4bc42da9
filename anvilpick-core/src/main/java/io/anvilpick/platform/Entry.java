package io.anvilpick.platform;

/**
 * A key and its value as stored in the platform.
 *
 * @param key the key
 * @param value the value as UTF-8 text of at most one megabyte
 * @param revision number that rises with every write to the key; zero for an absent key
 */
public record Entry(String key, String value, long revision) {}
