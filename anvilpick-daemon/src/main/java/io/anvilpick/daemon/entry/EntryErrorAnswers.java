package io.anvilpick.daemon.entry;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.anvilpick.error.Answer;
import io.anvilpick.error.AnswerTable;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.error.Outcome;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

/** Converts error kinds to plain HTTP answers, for callers that do not use the headers of this project. */
final class EntryErrorAnswers {
    /** Seconds after which a caller may retry at a daemon that could not run its request. */
    private static final String RETRY_AFTER_SECONDS = "0.3";

    private static final int FIRST_SERVER_ERROR = 500;
    private static final double NANOS_PER_SECOND = 1e9;

    private EntryErrorAnswers() {}

    /**
     * Returns the answer for an error.
     *
     * @param message what went wrong, for the text of the body
     * @param closeConnection whether to ask the caller to close the connection
     */
    static HttpResponse of(ErrorKind kind, String message, boolean closeConnection) {
        return of(kind, message, Optional.empty(), closeConnection);
    }

    /**
     * Returns the answer for an error.
     *
     * @param message what went wrong, for the text of the body
     * @param retryAfter the time after which the caller should return; empty for the usual time
     * @param closeConnection whether to ask the caller to close the connection
     */
    static HttpResponse of(ErrorKind kind, String message, Optional<Duration> retryAfter, boolean closeConnection) {
        HttpStatus status = statusOf(kind);
        ResponseHeadersBuilder headers = ResponseHeaders.builder(status).contentType(MediaType.PLAIN_TEXT_UTF_8);
        if (status.equals(HttpStatus.SERVICE_UNAVAILABLE) || status.equals(HttpStatus.TOO_MANY_REQUESTS)) {
            headers.set(
                    "retry-after", retryAfter.map(EntryErrorAnswers::secondsOf).orElse(RETRY_AFTER_SECONDS));
        }
        if (closeConnection) {
            headers.set("connection", "close");
        }
        String text = kind.name().toLowerCase(Locale.ROOT) + ": " + message + "\n";
        return HttpResponse.of(headers.build(), HttpData.ofUtf8(text));
    }

    private static String secondsOf(Duration duration) {
        return String.format(Locale.ROOT, "%.3f", duration.toNanos() / NANOS_PER_SECOND);
    }

    /**
     * Returns the HTTP status for an error. A 503 guarantees that the request has not run and will not run, and callers may retry
     * after it. Every server error with that guarantee is therefore a 503, and no other error is.
     */
    private static HttpStatus statusOf(ErrorKind kind) {
        Answer answer = AnswerTable.answerFor(kind);
        if (answer.outcome() == Outcome.NOT_RUN) {
            return answer.status() >= FIRST_SERVER_ERROR
                    ? HttpStatus.SERVICE_UNAVAILABLE
                    : HttpStatus.valueOf(answer.status());
        }
        return answer.status() >= FIRST_SERVER_ERROR ? HttpStatus.valueOf(answer.status()) : HttpStatus.BAD_GATEWAY;
    }
}
