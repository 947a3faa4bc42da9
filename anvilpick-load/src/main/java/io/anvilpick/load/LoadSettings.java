package io.anvilpick.load;

import com.google.common.collect.ImmutableList;

/**
 * Settings of a load run.
 *
 * @param daemons addresses of the daemons that callers query
 * @param direct whether callers send requests to the daemons' addresses without a query for the address to use
 * @param zone availability zone of the callers
 * @param streams the calls to make
 * @param seconds seconds during which calls are started
 * @param warmupSeconds initial seconds whose calls are excluded from the latencies
 * @param seed seed of the arrival times
 * @param recordsFolder folder with the targets' execution records; empty if there are none
 * @param targets addresses of the targets that are queried for their probe counts
 */
record LoadSettings(
        ImmutableList<String> daemons,
        boolean direct,
        String zone,
        ImmutableList<CallStream> streams,
        int seconds,
        int warmupSeconds,
        long seed,
        String recordsFolder,
        ImmutableList<String> targets) {}
