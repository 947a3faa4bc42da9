package io.anvilpick.daemon.frontend;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.linecorp.armeria.common.HttpHeaders;
import io.anvilpick.calls.Header;

/** Names of HTTP headers, and the selection of headers that are forwarded. */
public final class HeaderNames {
    /** Tenant on whose behalf a call is made. */
    public static final String TENANT = "anvilpick-tenant";
    /** Remaining milliseconds that the caller waits for the answer. */
    public static final String TIMEOUT_MILLIS = "anvilpick-timeout-ms";
    /** Number of the attempt; zero for the first, greater if the call is sent again. */
    public static final String ATTEMPT = "anvilpick-attempt";
    /** Key that identifies a call that must not run twice. */
    public static final String IDEMPOTENCY_KEY = "idempotency-key";
    /** Whether the call ran, as far as is known: {@code not_run}, {@code unknown} or {@code ran}. */
    public static final String OUTCOME = "anvilpick-outcome";
    /** Error kind of a call that failed. */
    public static final String ERROR = "anvilpick-error";
    /** Whether sending the call again is safe. */
    public static final String RESEND = "anvilpick-resend";
    /** Whether the answer is the stored answer of an earlier call with the same key. */
    public static final String REPLAYED = "anvilpick-replayed";
    /** Calls in flight at a target, as reported by the target. */
    public static final String IN_FLIGHT = "anvilpick-in-flight";
    /** Whether a target is draining, as reported by the target. */
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

    /** Returns {@code headers} without pseudo-headers and headers that apply to one connection or one hop only. */
    public static ImmutableList<Header> forwarded(HttpHeaders headers) {
        ImmutableList.Builder<Header> forwarded = ImmutableList.builder();
        headers.forEach((name, value) -> {
            String text = name.toString();
            if (!text.startsWith(":") && !NOT_FORWARDED.contains(text)) {
                forwarded.add(new Header(text, value));
            }
        });
        return forwarded.build();
    }
}
