package io.anvilpick.platform;

/** The state of a VM in the platform's list, which lags behind the actual state. */
public enum VmState {
    LIVE,
    LEAVING
}
