package io.anvilpick.platform;

/**
 * An entry of the platform's list of VMs, which lags behind their actual state.
 *
 * @param address host and port, or only the host
 * @param state live or leaving
 */
public record Vm(String address, VmState state) {}
