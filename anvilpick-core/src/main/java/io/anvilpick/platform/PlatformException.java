package io.anvilpick.platform;

/** Thrown when a call to the platform gets no answer. */
public final class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is known about the effect of a call that got no answer. */
    public enum Effect {
        /** The platform did not accept the call. */
        NONE,
        /** The call may have taken effect. */
        UNKNOWN
    }

    private final Effect effect;

    /** Creates an exception with what is known about the effect of the call. */
    public PlatformException(Effect effect, String message) {
        super(message);
        this.effect = effect;
    }

    /** Returns what is known about the effect of the call. */
    public Effect effect() {
        return effect;
    }
}
