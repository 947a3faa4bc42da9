package io.anvilpick.load;

import com.google.common.collect.ImmutableList;

/**
 * What a run does.
 *
 * @param daemons addresses of daemons that callers ask
 * @param direct whether callers send to the daemons' addresses as they are, without asking
 * @param zone the callers' availability zone
 * @param streams the calls
 * @param seconds how long calls are started
 * @param warmupSeconds seconds at the start that are not counted in latencies
 * @param seed seed of arrival times
 * @param recordsFolder folder with the targets' records; empty text for none
 * @param targets addresses of targets that are asked for their counts of probes
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
