package io.anvilpick.daemon;

import com.google.common.collect.ImmutableList;
import io.anvilpick.dispatch.TargetPolicy;

/**
 * What a daemon is started with.
 *
 * @param host IP number that it listens at
 * @param callPort port towards callers; zero for any that is free
 * @param peerPort port towards other daemons; zero for any that is free
 * @param advertisedPeer host and port where other daemons reach it; empty text for host and peer port
 * @param region region of the VM
 * @param zone availability zone of the VM
 * @param platform address of the platform
 * @param seeds peer addresses to start from where the platform is down
 * @param policy how targets are chosen; another one than late binding is for benchmarks only
 * @param drainMillis milliseconds for which a daemon that shuts down still serves callers who keep its address
 * @param mostHeldBytes bytes of bodies held at a time beyond which new calls are refused
 * @param warmUpCalls calls that a daemon makes to itself before it takes callers; zero for none
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
        long mostHeldBytes,
        int warmUpCalls) {}
