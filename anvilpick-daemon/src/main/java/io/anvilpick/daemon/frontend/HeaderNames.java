package io.anvilpick.daemon.frontend;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.linecorp.armeria.common.HttpHeaders;
import io.anvilpick.calls.Header;

/** Names of HTTP headers, and which of them are passed on. */
public final class HeaderNames {
    /** The customer on whose behalf a call is made. */
    public static final String TENANT = "anvilpick-tenant";
    /** Milliseconds that the caller still waits for the answer. */
    public static final String TIMEOUT_MILLIS = "anvilpick-timeout-ms";
    /** Zero for a first attempt, more where the call is sent again. */
    public static final String ATTEMPT = "anvilpick-attempt";
    /** Key of a call that may not be repeated. */
    public static final String IDEMPOTENCY_KEY = "idempotency-key";
    /** What is known about whether a call ran: {@code not_run}, {@code unknown} or {@code ran}. */
    public static final String OUTCOME = "anvilpick-outcome";
    /** Kind of the error that kept a call from being answered. */
    public static final String ERROR = "anvilpick-error";
    /** Whether sending the call again is safe. */
    public static final String RESEND = "anvilpick-resend";
    /** Whether the answer is the kept one of an earlier call with the same key. */
    public static final String REPLAYED = "anvilpick-replayed";
    /** Calls that a target has in flight, as it says itself. */
    public static final String IN_FLIGHT = "anvilpick-in-flight";
    /** Whether a target is draining, as it says itself. */
    public static final String LEAVING = "anvilpick-leaving";

    private static final ImmutableSet<String> NOT_FORWARDED = ImmutableSet.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "http2-settings",
            "host",
            "content-length",
            "expect",
            TIMEOUT_MILLIS,
            ATTEMPT,
            IN_FLIGHT,
            LEAVING);

    private HeaderNames() {}

    /** Returns the headers that are passed on, without those that hold for one connection only. */
    public static ImmutableList<Header> forwarded(HttpHeaders headers) {
        ImmutableList.Builder<Header> passed = ImmutableList.builder();
        headers.forEach((name, value) -> {
            String text = name.toString();
            if (!text.startsWith(":") && !NOT_FORWARDED.contains(text)) {
                passed.add(new Header(text, value));
            }
        });
        return passed.build();
    }
}
