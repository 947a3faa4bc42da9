package io.anvilpick.platform;

/** Thrown when a call to the platform fails: it gets no response, an error status, or an unreadable response. */
public final class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is known about the effect of a call that failed. */
    public enum Effect {
        /** The call had no effect: it did not reach the platform, or the platform rejected it. */
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
