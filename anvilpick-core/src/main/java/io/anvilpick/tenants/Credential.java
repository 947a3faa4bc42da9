package io.anvilpick.tenants;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * An API key. Its text form does not contain the key, so that a credential can be part of values that are logged.
 *
 * @param key the key as the caller sends it
 */
public record Credential(String key) {
    public Credential {
        checkArgument(!key.isEmpty(), "a key must not be empty");
    }

    @Override
    public String toString() {
        return "Credential[...]";
    }
}
