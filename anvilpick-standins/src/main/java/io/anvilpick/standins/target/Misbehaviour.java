package io.anvilpick.standins.target;

/**
 * The faults that a target currently shows.
 *
 * @param slowness factor by which every service time is multiplied
 * @param noisy whether a second factor on service times alternates between one and four, every 5 to 50 milliseconds
 * @param failFast whether every call is answered immediately with status 500
 * @param draining whether the target reports that it is leaving and refuses new calls
 * @param reportIdle whether the target always reports a load of zero
 */
record Misbehaviour(double slowness, boolean noisy, boolean failFast, boolean draining, boolean reportIdle) {
    static final Misbehaviour NONE = new Misbehaviour(1, false, false, false, false);
}
