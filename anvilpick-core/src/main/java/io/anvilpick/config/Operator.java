package io.anvilpick.config;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A party that may accept configurations under a {@link Contract}.
 *
 * @param name name that the history shows
 * @param publicKey Ed25519 public key, X.509 encoded, in Base64
 */
public record Operator(String name, String publicKey) {
    public Operator {
        checkArgument(!name.isEmpty(), "name must not be empty");
        checkArgument(!publicKey.isEmpty(), "publicKey must not be empty");
    }
}
