package io.anvilpick.calls;

import static com.google.common.base.Preconditions.checkArgument;

import io.anvilpick.error.ErrorKind;
import java.util.Optional;

/**
 * The limits and rules by which a call is sent.
 *
 * @param maxTargets maximum number of targets that may run the call, including hedges; targets that could not be
 *     reached or that rejected the call do not count
 * @param retryServerErrors whether an idempotent call that is answered with a server error is sent to another target
 * @param prober measures the load of targets before each send
 * @param permission decides before each send whether the call may still be sent
 */
public record SendPlan(int maxTargets, boolean retryServerErrors, LoadProber prober, SendPermission permission) {
    private static final int DEFAULT_MAX_TARGETS = 3;

    public SendPlan {
        checkArgument(maxTargets > 0, "maxTargets must be positive: %s", maxTargets);
    }

    /** Creates a plan by which calls may always be sent. */
    public SendPlan(int maxTargets, boolean retryServerErrors, LoadProber prober) {
        this(maxTargets, retryServerErrors, prober, Optional::empty);
    }

    /** Decides whether a call may be sent, now that it is about to be. */
    @FunctionalInterface
    public interface SendPermission {
        /** Returns why the call may not be sent; empty if it may. */
        Optional<ErrorKind> refusal();
    }

    /** Returns the plan for calls that have none of their own: no retries of server errors and no load probes. */
    public static SendPlan defaultPlan() {
        return new SendPlan(DEFAULT_MAX_TARGETS, false, LoadProber.none());
    }
}
