package io.anvilpick.daemon.http;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;

/**
 * An idempotent call that is sent once more, on a new connection, if it has no reply after a while. The first response that does not
 * turn the call away is the reply, and the connection of the other attempt is closed. Thread safe; guarded by its lock.
 */
final class HedgedCall {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int FIRST_SERVER_ERROR = 500;

    private final ReentrantLock lock = new ReentrantLock();
    private final HttpServerClient client;
    private final PendingCall whole;
    private final ServerCall again;
    private final List<PendingCall> attempts = new ArrayList<>();
    private int running;

    /**
     * Creates a call whose reply completes {@code whole}, and ends the attempts once that is complete.
     *
     * @param again the call of the second attempt
     */
    HedgedCall(HttpServerClient client, PendingCall whole, ServerCall again) {
        this.client = client;
        this.whole = whole;
        this.again = again;
        whole.reply().thenAccept(reply -> abortAttempts());
    }

    /** Sends the call for the first time. */
    void send() {
        PendingCall attempt = newAttempt(whole.call());
        client.start(attempt);
    }

    /** Sends the call once more unless it is complete. */
    void sendAgain() {
        if (whole.isDone()) {
            return;
        }
        PendingCall attempt = newAttempt(again);
        if (whole.isDone()) {
            attempt.abort();
            return;
        }
        client.startOnNewConnection(attempt);
    }

    private PendingCall newAttempt(ServerCall call) {
        PendingCall attempt = new PendingCall(call);
        lock.lock();
        try {
            attempts.add(attempt);
            running++;
        } finally {
            lock.unlock();
        }
        attempt.reply().thenAccept(this::onReply);
        return attempt;
    }

    /** A failed attempt ends the call only if no other attempt is running. */
    private void onReply(ServerReply reply) {
        boolean last;
        lock.lock();
        try {
            running--;
            last = running == 0;
        } finally {
            lock.unlock();
        }
        if (last || isUsable(reply)) {
            whole.complete(reply);
        }
    }

    /** Returns whether no other attempt can have a better reply. A server that turns one attempt away may answer the other. */
    private static boolean isUsable(ServerReply reply) {
        return switch (reply) {
            case ServerReply.Answered answered ->
                answered.status() != TOO_MANY_REQUESTS && answered.status() < FIRST_SERVER_ERROR;
            case ServerReply.TooLarge ignored -> true;
            case ServerReply.NotSent ignored -> false;
            case ServerReply.Lost ignored -> false;
        };
    }

    private void abortAttempts() {
        List<PendingCall> started;
        lock.lock();
        try {
            started = List.copyOf(attempts);
        } finally {
            lock.unlock();
        }
        started.forEach(PendingCall::abort);
    }
}
