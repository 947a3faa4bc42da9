package io.anvilpick.config;

/**
 * Thrown when a stored configuration or a private key cannot be used, or a part of a configuration cannot be fetched.
 * The message names the part and the reason.
 */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message that names the part and the reason. */
    public ConfigurationException(String message) {
        super(message);
    }
}
