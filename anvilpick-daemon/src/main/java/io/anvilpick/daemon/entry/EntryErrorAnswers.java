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
import java.util.Locale;

/** Converts error kinds to plain HTTP answers, for callers that do not use the headers of this project. */
final class EntryErrorAnswers {
    /** Seconds after which a caller may retry at a daemon that could not run its request. */
    private static final String RETRY_AFTER_SECONDS = "0.3";

    private static final int FIRST_SERVER_ERROR = 500;

    private EntryErrorAnswers() {}

    /**
     * Returns the answer for an error.
     *
     * @param message what went wrong, for the text of the body
     * @param closeConnection whether to ask the caller to close the connection
     */
    static HttpResponse of(ErrorKind kind, String message, boolean closeConnection) {
        HttpStatus status = statusOf(kind);
        ResponseHeadersBuilder headers = ResponseHeaders.builder(status).contentType(MediaType.PLAIN_TEXT_UTF_8);
        if (status.equals(HttpStatus.SERVICE_UNAVAILABLE)) {
            headers.set("retry-after", RETRY_AFTER_SECONDS);
        }
        if (closeConnection) {
            headers.set("connection", "close");
        }
        String text = kind.name().toLowerCase(Locale.ROOT) + ": " + message + "\n";
        return HttpResponse.of(headers.build(), HttpData.ofUtf8(text));
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
