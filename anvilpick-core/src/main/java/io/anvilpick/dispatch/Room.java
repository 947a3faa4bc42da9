package io.anvilpick.dispatch;

/**
 * What the targets of a service can take.
 *
 * @param slots the number of calls that may be in flight at a time, on resting targets too
 * @param restNanos the nanoseconds until a target may be sent a call, because all of them rest; zero if one does not
 */
record Room(int slots, long restNanos) {}
