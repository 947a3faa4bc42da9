package io.anvilpick.platform;

/** What the platform's lagging list says of a VM. */
public enum VmState {
    LIVE,
    LEAVING
}
