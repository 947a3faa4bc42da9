package io.anvilpick.daemon.entry;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpRequest;
import io.netty.util.concurrent.EventExecutor;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Reads the body of one request, and stops as soon as its bytes exceed the daemon's bound. Requests one part at a time, so that
 * at most one uncounted part is in memory. Confined to the event loop of the request.
 */
final class RequestBodyReader implements Subscriber<HttpObject> {
    private final RequestBodyBytes bytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> result = new CompletableFuture<>();
    private @Nullable Subscription subscription;

    private RequestBodyReader(RequestBodyBytes bytes) {
        this.bytes = bytes;
    }

    /**
     * Starts to read the body of {@code request} and returns its bytes. The future completes exceptionally if the body exceeds the
     * bound of {@code bytes} or does not arrive whole.
     *
     * @param eventLoop the event loop of the request
     */
    static CompletableFuture<byte[]> read(HttpRequest request, RequestBodyBytes bytes, EventExecutor eventLoop) {
        RequestBodyReader reader = new RequestBodyReader(bytes);
        request.subscribe(reader, eventLoop);
        return reader.result;
    }

    @Override
    public void onSubscribe(Subscription started) {
        subscription = started;
        started.request(1);
    }

    @Override
    public void onNext(HttpObject part) {
        if (subscription == null || result.isDone()) {
            return;
        }
        if (part instanceof HttpData data && !tryAppend(data)) {
            subscription.cancel();
            result.completeExceptionally(
                    new IllegalStateException("the body exceeds the bytes that this daemon may hold"));
            return;
        }
        subscription.request(1);
    }

    private boolean tryAppend(HttpData data) {
        if (!bytes.tryAdd(data.length())) {
            return false;
        }
        body.write(data.array(), 0, data.length());
        return true;
    }

    @Override
    public void onError(Throwable cause) {
        result.completeExceptionally(cause);
    }

    @Override
    public void onComplete() {
        result.complete(body.toByteArray());
    }
}
