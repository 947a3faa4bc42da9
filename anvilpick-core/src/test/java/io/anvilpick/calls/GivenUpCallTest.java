package io.anvilpick.calls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.dispatch.Admission;
import io.anvilpick.dispatch.Call;
import io.anvilpick.dispatch.CallResult;
import io.anvilpick.dispatch.DispatchResult;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.dispatch.TargetNotice;
import io.anvilpick.dispatch.TargetPolicy;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against sends for a caller that has left, which use capacity that others wait for. */
@Timeout(60)
class GivenUpCallTest {
    private static final RequestConfig LOOKUP = new RequestConfig("lookup", "*", "/", true, false, 2_000, 1);
    private static final int MAX_TARGETS = 3;

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final Dispatcher dispatcher = Dispatcher.builder()
            .time(time)
            .random(new SplittableRandom(1))
            .policy(new TargetPolicy.EarliestAnswer("z"))
            .build();
    private final List<CompletableFuture<TargetReply>> sent = new ArrayList<>();
    private final FakeClient client = new FakeClient();
    private boolean rejects = true;

    @AfterEach
    void clearInterrupt() {
        boolean ignored = Thread.interrupted();
    }

    /** A client that rejects every call, or never answers. */
    private final class FakeClient implements TargetClient {
        @Override
        public Exchange send(TargetConfig target, CallRequest request) {
            CompletableFuture<TargetReply> reply = new CompletableFuture<>();
            sent.add(reply);
            if (rejects) {
                CallAnswer answer = new CallAnswer(503, ImmutableList.of(), new byte[0], false);
                reply.complete(new TargetReply.Answered(answer, Optional.empty(), true, new TargetNotice.None()));
            }
            return new Exchange() {
                @Override
                public CompletableFuture<TargetReply> reply() {
                    return reply;
                }

                @Override
                public void cancel() {
                    reply.complete(new TargetReply.Cancelled());
                }
            };
        }

        @Override
        public CompletableFuture<Boolean> isListening(TargetConfig target) {
            return CompletableFuture.completedFuture(true);
        }
    }

    /** Events during which the caller leaves when its call is to be sent again. */
    private static final class LeavingOnRetry implements CallEvents {
        @Override
        public void answered(String service, String request, String tenant, long nanos) {}

        @Override
        public void refused(String service, String request, String tenant, ErrorKind kind) {}

        @Override
        public void retried(String service) {
            Thread.currentThread().interrupt();
        }

        @Override
        public void hedged(String service) {}
    }

    private static final class NoCrashes implements CrashProtection {
        @Override
        public void awaitPermission(CallRequest request) {}

        @Override
        public CompletableFuture<Void> onConnectionLost(TargetConfig target, CallRequest request) {
            return CompletableFuture.completedFuture(null);
        }
    }

    private void assertInterrupted(LoadProber prober) {
        dispatcher.configure(
                ServiceConfig.builder("s")
                        .slotsPerTarget(4)
                        .requests(ImmutableList.of())
                        .targets(IntStream.range(0, 8)
                                .mapToObj(i -> new TargetConfig("t" + i, "10.0.0." + i, 80, "z", false))
                                .collect(ImmutableList.toImmutableList()))
                        .build(),
                Map.of());
        Sender sender =
                new Sender(client, new NoCrashes(), new LeavingOnRetry(), time, (nanos, action) -> action.run());
        Call call = new Call(1_000, "", LOOKUP, Deadline.after(time, Duration.ofSeconds(2)));
        CallRequest request = new CallRequest(
                "s", "", "GET", "/", ImmutableList.of(), new byte[0], Optional.empty(), call.deadline(), 0);
        assertThrows(
                InterruptedException.class,
                () -> sender.send(dispatcher, call, request, new SendPlan(MAX_TARGETS, true, prober)));
    }

    @Test
    void callWhoseCallerLeftIsNotRetried() {
        assertInterrupted(LoadProber.none());
        assertEquals(1, sent.size());
        assertTrue(dispatcher.targets().stream().allMatch(target -> target.inFlight() == 0));
    }

    @Test
    void callWhoseCallerLeftIsNotHedged() {
        establishBaseline();
        rejects = false;
        int before = sent.size();
        List<Integer> probes = new ArrayList<>();
        assertInterrupted((target, call, excluded) -> {
            probes.add(excluded.size());
            if (!excluded.isEmpty()) {
                Thread.currentThread().interrupt();
            }
        });
        assertEquals(List.of(0, 1), probes);
        assertEquals(before + 1, sent.size());
        assertTrue(sent.getLast().isDone());
    }

    private void establishBaseline() {
        dispatcher.configure(
                ServiceConfig.builder("s")
                        .slotsPerTarget(4)
                        .requests(ImmutableList.of())
                        .targets(ImmutableList.of(new TargetConfig("t0", "10.0.0.0", 80, "z", false)))
                        .build(),
                Map.of());
        for (int i = 0; i < 50; i++) {
            Call call = new Call(i, "", LOOKUP, Deadline.after(time, Duration.ofSeconds(2)));
            if (dispatcher.submit(call) instanceof Admission.Assigned assigned) {
                time.advance(Duration.ofMillis(10));
                DispatchResult ignored =
                        dispatcher.finish(assigned.assignment(), new CallResult.Answered(Optional.empty(), false));
            }
        }
    }
}
