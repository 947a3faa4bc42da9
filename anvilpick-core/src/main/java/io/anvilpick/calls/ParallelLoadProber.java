package io.anvilpick.calls;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.dispatch.Call;
import io.anvilpick.dispatch.Dispatcher;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Probes the load of a few targets in parallel just before a call is sent. The load that targets report with earlier
 * answers is stale within milliseconds. Thread safe.
 *
 * <p>If all targets of a round are slow, a second round probes other targets. No target is probed if the load of a good
 * one has been reported a moment ago.
 */
public final class ParallelLoadProber implements LoadProber {
    private static final int TARGETS_PER_ROUND = 4;
    private static final int MAX_ROUNDS = 2;
    private static final Duration ROUND_TIMEOUT = Duration.ofMillis(20);

    private final ProbeClient probes;
    private final String path;

    /** Creates a prober that requests {@code path} of each target. */
    public ParallelLoadProber(ProbeClient probes, String path) {
        this.probes = probes;
        this.path = path;
    }

    @Override
    public void measure(Dispatcher dispatcher, Call call, Set<String> excluded) throws InterruptedException {
        for (int round = 0; round < MAX_ROUNDS; round++) {
            ImmutableList<TargetConfig> targets = dispatcher.targetsToProbe(call, excluded, TARGETS_PER_ROUND);
            if (targets.isEmpty()) {
                return;
            }
            probeAll(dispatcher, targets);
        }
    }

    private void probeAll(Dispatcher dispatcher, ImmutableList<TargetConfig> targets) throws InterruptedException {
        List<CompletableFuture<Void>> pending = new ArrayList<>(targets.size());
        for (TargetConfig target : targets) {
            pending.add(probes.probe(target, path).thenAccept(reply -> recordReply(dispatcher, target, reply)));
        }
        try {
            CompletableFuture.allOf(pending.toArray(new CompletableFuture<?>[0]))
                    .get(ROUND_TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            // A late reply is still recorded, for later calls.
            for (int i = 0; i < pending.size(); i++) {
                if (!pending.get(i).isDone()) {
                    dispatcher.recordLateProbe(targets.get(i).id());
                }
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException("a probe completed exceptionally", e);
        }
    }

    private static void recordReply(Dispatcher dispatcher, TargetConfig target, ProbeReply reply) {
        switch (reply) {
            case ProbeReply.Reported reported -> dispatcher.recordLoadReport(target.id(), reported.report());
            case ProbeReply.NotReported ignored -> dispatcher.recordProbeWithoutLoad(target.id());
            case ProbeReply.Noticed noticed -> dispatcher.recordNotice(target.id(), noticed.notice());
            case ProbeReply.NoAnswer ignored -> dispatcher.recordFailedProbe(target.id());
        }
    }
}
