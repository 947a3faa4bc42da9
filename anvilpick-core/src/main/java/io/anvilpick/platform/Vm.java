package io.anvilpick.platform;

/**
 * A row of the platform's lagging list of VMs.
 *
 * @param address host and port, or host alone
 * @param state live or leaving
 */
public record Vm(String address, VmState state) {}
