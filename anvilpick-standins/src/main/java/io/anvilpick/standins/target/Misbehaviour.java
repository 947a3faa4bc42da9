package io.anvilpick.standins.target;

/**
 * What is wrong with a target just now.
 *
 * @param slowness factor on the time of every call
 * @param noisy whether the factor flips between one and four every few milliseconds
 * @param failFast whether every call is answered at once with a server error
 * @param draining whether the target says that it is leaving and refuses new calls
 * @param reportIdle whether its load report always says idle
 */
record Misbehaviour(double slowness, boolean noisy, boolean failFast, boolean draining, boolean reportIdle) {
    static final Misbehaviour NONE = new Misbehaviour(1, false, false, false, false);
}
