package io.anvilpick.platform;

/** A call to the platform that brought no answer. */
public final class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is known about a write that got no answer. */
    public enum Effect {
        /** The platform did not take the call. */
        NONE,
        /** The call may have taken effect. */
        UNKNOWN
    }

    private final Effect effect;

    /** Creates an exception that says whether the call may have taken effect. */
    public PlatformException(Effect effect, String message) {
        super(message);
        this.effect = effect;
    }

    /** Returns what is known about the effect of the call. */
    public Effect effect() {
        return effect;
    }
}
