package io.anvilpick.config;

/**
 * A head as stored: its text and the operator's signature over exactly that text.
 *
 * @param head JSON text of a {@link Head}
 * @param signature Ed25519 signature of the UTF-8 bytes of {@code head}, in Base64
 */
public record SignedHead(String head, String signature) {}
