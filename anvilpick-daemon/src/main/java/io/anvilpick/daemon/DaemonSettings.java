package io.anvilpick.daemon;

import com.google.common.collect.ImmutableList;
import io.anvilpick.dispatch.TargetPolicy;

/**
 * The settings of a daemon.
 *
 * @param host IP address on which the daemon listens
 * @param callPort port for callers; if zero, the server listens on a free port, but the daemon announces port zero
 * @param peerPort port for other daemons; zero selects a free port
 * @param advertisedPeer host and port at which other daemons reach this daemon; if empty, {@code host} and the peer
 *     port
 * @param region region of the VM
 * @param zone availability zone of the VM
 * @param platform address of the platform
 * @param seeds peer addresses to contact while no other running member is known, such as when the platform is
 *     unavailable
 * @param policy policy that selects targets; policies other than late binding are for benchmarks only
 * @param drainMillis milliseconds for which a daemon that shuts down still serves callers that use its address
 * @param maxHeldBytes maximum bytes of bodies held in memory; new calls beyond it are rejected
 * @param warmUpCalls calls that the daemon makes to itself before it accepts callers; zero disables the warm-up
 */
public record DaemonSettings(
        String host,
        int callPort,
        int peerPort,
        String advertisedPeer,
        String region,
        String zone,
        String platform,
        ImmutableList<String> seeds,
        TargetPolicy policy,
        long drainMillis,
        long maxHeldBytes,
        int warmUpCalls) {}
