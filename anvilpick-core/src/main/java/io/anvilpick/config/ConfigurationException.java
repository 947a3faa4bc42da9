package io.anvilpick.config;

/** A stored configuration that cannot be used. The message names the part and the reason. */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message that names part and reason. */
    public ConfigurationException(String message) {
        super(message);
    }
}
