package io.anvilpick.daemon.frontend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.anvilpick.error.Answer;
import io.anvilpick.error.AnswerTable;
import io.anvilpick.error.ErrorKind;
import java.util.Locale;

/** Encodes error kinds as HTTP responses according to {@link AnswerTable}. */
final class ErrorAnswers {
    private static final JsonMapper JSON = new JsonMapper();
    private static final long MILLIS_PER_SECOND = 1_000;

    /** The JSON body of an error response. */
    private record Body(String error, String outcome, String resend, long retryAfterMillis, String message) {}

    private ErrorAnswers() {}

    static HttpResponse of(ErrorKind kind, String message) {
        Answer answer = AnswerTable.answerFor(kind);
        String error = kind.name().toLowerCase(Locale.ROOT);
        ResponseHeadersBuilder headers = ResponseHeaders.builder(HttpStatus.valueOf(answer.status()))
                .contentType(MediaType.JSON_UTF_8)
                .add(HeaderNames.ERROR, error)
                .add(HeaderNames.OUTCOME, answer.outcome().token())
                .add(HeaderNames.RESEND, answer.resend().token());
        if (answer.retryAfterMillis() > 0) {
            long seconds = (answer.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            headers.add("retry-after", Long.toString(seconds));
        }
        Body body =
                new Body(error, answer.outcome().token(), answer.resend().token(), answer.retryAfterMillis(), message);
        try {
            return HttpResponse.of(headers.build(), HttpData.wrap(JSON.writeValueAsBytes(body)));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("error body could not be serialized as JSON", e);
        }
    }
}
