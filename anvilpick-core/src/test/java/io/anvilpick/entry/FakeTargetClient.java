package io.anvilpick.entry;

import com.google.common.collect.ImmutableList;
import io.anvilpick.calls.CallAnswer;
import io.anvilpick.calls.CallRequest;
import io.anvilpick.calls.Exchange;
import io.anvilpick.calls.ProbeClient;
import io.anvilpick.calls.ProbeReply;
import io.anvilpick.calls.TargetClient;
import io.anvilpick.calls.TargetReply;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.dispatch.TargetNotice;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A client that returns the replies queued by a test, immediately, and answers of status 200 after them. */
final class FakeTargetClient implements TargetClient, ProbeClient {
    final Deque<TargetReply> replies = new ArrayDeque<>();
    final List<String> sentTo = new ArrayList<>();
    final List<CallRequest> sent = new ArrayList<>();
    boolean listening = true;
    Runnable onSend = () -> {};

    static TargetReply answered(int status) {
        CallAnswer answer = new CallAnswer(status, ImmutableList.of(), new byte[0], false);
        return new TargetReply.Answered(answer, Optional.empty(), false, new TargetNotice.None());
    }

    static TargetReply rejected() {
        CallAnswer answer = new CallAnswer(503, ImmutableList.of(), new byte[0], false);
        return new TargetReply.Answered(answer, Optional.empty(), true, new TargetNotice.None());
    }

    @Override
    public Exchange send(TargetConfig target, CallRequest request) {
        sentTo.add(target.id());
        sent.add(request);
        onSend.run();
        TargetReply reply = replies.isEmpty() ? answered(200) : replies.poll();
        CompletableFuture<TargetReply> done = CompletableFuture.completedFuture(reply);
        return new Exchange() {
            @Override
            public CompletableFuture<TargetReply> reply() {
                return done;
            }

            @Override
            public void cancel() {}
        };
    }

    @Override
    public CompletableFuture<Boolean> isListening(TargetConfig target) {
        return CompletableFuture.completedFuture(listening);
    }

    @Override
    public CompletableFuture<ProbeReply> probe(TargetConfig target, String path) {
        return CompletableFuture.completedFuture(new ProbeReply.NotReported());
    }
}
