package io.anvilpick.dispatch;

import io.anvilpick.config.RequestConfig;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.jetbrains.lincheck.datastructures.ThreadIdGen;
import org.junit.jupiter.api.Test;

/**
 * Calls in flight, and with them the connections to a target, are counted as if one thread after the other had come:
 * no slot is given twice, and none is lost.
 */
public class DispatcherLincheckTest {
    private static final int SLOTS = 2;
    private static final int MOST_THREADS = 8;
    private static final int ANSWERS_TO_LEARN_FROM = 100;
    private static final Duration USUAL_TIME = Duration.ofSeconds(1);
    private static final CallResult ANSWERED = new CallResult.Answered(Optional.empty(), false, false);
    private static final RequestConfig LOOKUP = new RequestConfig("lookup", "GET", "/", true, false, 1_000, 0);

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final Dispatcher dispatcher =
            Dispatcher.builder().time(time).random(new SplittableRandom(1)).build();
    private final List<Deque<Assignment>> heldByThread = new ArrayList<>();

    public DispatcherLincheckTest() {
        for (int i = 0; i < MOST_THREADS; i++) {
            heldByThread.add(new ArrayDeque<>());
        }
        ServiceConfig service = ServiceConfig.builder("s")
                .slotsPerTarget(SLOTS)
                .connectionsPerTarget(SLOTS)
                .requests(List.of(LOOKUP))
                .targets(List.of(new TargetConfig("t", "127.0.0.1", 1, "z", false)))
                .build();
        dispatcher.configure(service, FakeTargets.configurationOf(service));
        for (int i = 0; i < ANSWERS_TO_LEARN_FROM; i++) {
            take(0);
            time.advance(USUAL_TIME);
            giveBack(0);
        }
    }

    /** Returns a call that cannot wait for a slot, as the usual time of an answer is longer than it has. */
    private Call callOf(int thread) {
        Deadline deadline = Deadline.after(time, USUAL_TIME.dividedBy(2));
        return new Call(thread, "tenant", LOOKUP, deadline);
    }

    @Operation
    public boolean take(@Param(gen = ThreadIdGen.class) int thread) {
        return switch (dispatcher.submit(callOf(thread))) {
            case Admission.Assigned assigned -> heldByThread.get(thread).add(assigned.assignment());
            case Admission.Waiting ignored -> throw new AssertionError("a call that cannot wait was held");
            case Admission.Refused ignored -> false;
        };
    }

    @Operation
    public boolean giveBack(@Param(gen = ThreadIdGen.class) int thread) {
        Assignment held = heldByThread.get(thread).poll();
        if (held == null) {
            return false;
        }
        dispatcher.finish(held, ANSWERED);
        return true;
    }

    @Operation
    public int inFlight() {
        return dispatcher.targets().get(0).inFlight();
    }

    @Operation
    public void shareAmong(@Param(gen = IntGen.class, conf = "1:2") int daemons) {
        dispatcher.setDaemonCount(daemons);
    }

    @Test
    public void isLinearizable() {
        new StressOptions()
                .iterations(20)
                .invocationsPerIteration(300)
                .threads(3)
                .actorsPerThread(3)
                .check(DispatcherLincheckTest.class);
    }
}
