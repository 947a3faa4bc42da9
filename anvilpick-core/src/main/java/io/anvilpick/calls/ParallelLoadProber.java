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
 * Asks a few targets for their load just before a call is sent, since what they reported with earlier answers is stale within
 * milliseconds. Thread safe.
 *
 * <p>It asks again, others then, if all that it asked are slow. Where a good target is known from a moment ago, it asks none.
 */
public final class ParallelLoadProber implements LoadProber {
    private static final int TARGETS_A_ROUND = 4;
    private static final int ROUNDS = 2;
    private static final Duration LONGEST_ROUND = Duration.ofMillis(20);

    private final ProbeClient probes;
    private final String path;

    /** Creates a scout that asks at {@code path}. */
    public ParallelLoadProber(ProbeClient probes, String path) {
        this.probes = probes;
        this.path = path;
    }

    @Override
    public void measure(Dispatcher dispatcher, Call call, Set<String> excluded) throws InterruptedException {
        for (int round = 0; round < ROUNDS; round++) {
            ImmutableList<TargetConfig> targets = dispatcher.targetsToProbe(call, excluded, TARGETS_A_ROUND);
            if (targets.isEmpty()) {
                return;
            }
            ask(dispatcher, targets);
        }
    }

    private void ask(Dispatcher dispatcher, ImmutableList<TargetConfig> targets) throws InterruptedException {
        List<CompletableFuture<Void>> asked = new ArrayList<>(targets.size());
        for (TargetConfig target : targets) {
            asked.add(probes.probe(target, path).thenAccept(reply -> note(dispatcher, target, reply)));
        }
        try {
            CompletableFuture.allOf(asked.toArray(new CompletableFuture<?>[0]))
                    .get(LONGEST_ROUND.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            // A late reply still counts for later calls.
            for (int i = 0; i < asked.size(); i++) {
                if (!asked.get(i).isDone()) {
                    dispatcher.recordLateProbe(targets.get(i).id());
                }
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException("a probe ended with a failure", e);
        }
    }

    private static void note(Dispatcher dispatcher, TargetConfig target, ProbeReply reply) {
        switch (reply) {
            case ProbeReply.Reported told -> dispatcher.recordLoadReport(target.id(), told.report());
            case ProbeReply.NotReported ignored -> dispatcher.recordProbeWithoutLoad(target.id());
            case ProbeReply.OtherTarget ignored -> dispatcher.recordReplaced(target.id());
            case ProbeReply.NoAnswer ignored -> dispatcher.recordFailedProbe(target.id());
        }
    }
}
