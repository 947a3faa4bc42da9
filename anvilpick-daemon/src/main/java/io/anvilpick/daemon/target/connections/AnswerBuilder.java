package io.anvilpick.daemon.target.connections;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.calls.CallAnswer;
import io.anvilpick.calls.Header;
import io.anvilpick.calls.TargetReply;
import io.anvilpick.dispatch.TargetNotice;
import io.anvilpick.time.TimeSource;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import java.util.Map;

/** A builder for one answer of a target. Confined to the thread of its connection. */
final class AnswerBuilder {
    private static final ImmutableSet<String> CONNECTION_HEADERS = ImmutableSet.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length");
    private static final String LEAVING = "1";
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    private final HttpResponse response;
    private final TargetHeaders names;
    private final AnswerBody body = new AnswerBody();

    AnswerBuilder(HttpResponse response, TargetHeaders names) {
        this.response = response;
        this.names = names;
    }

    int size() {
        return body.size();
    }

    void append(ByteBuf content) {
        body.append(content);
    }

    /** Returns whether the answer may belong to the request with that id. A rejection may omit the id. */
    boolean mayAnswer(String requestId) {
        String echoed = response.headers().get(names.requestId());
        return echoed == null ? mayAnswerAnyRequest() : echoed.equals(requestId);
    }

    /** Returns whether a copy of the answer would be taken for an answer to any other request. */
    boolean mayAnswerAnyRequest() {
        return hasNoRequestId() && isRejection();
    }

    /** Returns whether the answer has no request id, like the answer to a probe. */
    boolean hasNoRequestId() {
        return !response.headers().contains(names.requestId());
    }

    /** Returns whether the target states that it did not run the request. */
    boolean isRejection() {
        return response.headers().contains(names.notExecuted())
                || response.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    }

    /**
     * Returns the reply, which has arrived now. An answer with a content encoding counts as cut, and so does a success without the target's seal unless
     * it has no request id, like the answer to a probe.
     */
    TargetReply build(TimeSource time) {
        int status = response.status().code();
        boolean success = status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
        if (success && !hasNoRequestId() && !response.headers().contains(names.seal())) {
            return new TargetReply.Cut("success without seal");
        }
        if (response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            return new TargetReply.Cut("encoded body");
        }
        return new TargetReply.Answered(
                new CallAnswer(status, headers(), body.toByteArray(), false),
                LoadReportParser.parse(
                        response.headers().get(names.load()), response.headers().get(names.warmUpMillis()), time),
                isRejection(),
                notice(time));
    }

    private TargetNotice notice(TimeSource time) {
        int status = response.status().code();
        if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            return new TargetNotice.Replaced();
        }
        if (response.headers().contains(names.leaving(), LEAVING, true)) {
            return new TargetNotice.Leaving();
        }
        if (status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()) {
            return RestParser.parse(response.headers().getAll(HttpHeaderNames.RETRY_AFTER), time)
                    .<TargetNotice>map(TargetNotice.Rest::new)
                    .orElseGet(TargetNotice.None::new);
        }
        return new TargetNotice.None();
    }

    private ImmutableList<Header> headers() {
        ImmutableList.Builder<Header> headers = ImmutableList.builder();
        for (Map.Entry<String, String> entry : response.headers()) {
            String name = entry.getKey().toLowerCase(Locale.ROOT);
            if (!CONNECTION_HEADERS.contains(name)) {
                headers.add(new Header(name, entry.getValue()));
            }
        }
        return headers.build();
    }
}
