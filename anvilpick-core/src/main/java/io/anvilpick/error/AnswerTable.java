package io.anvilpick.error;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.EnumMap;

/** The mapping from each {@link ErrorKind} to the answer that callers get. Immutable. */
public final class AnswerTable {
    private static final long SHORT_WAIT_MILLIS = 50;
    private static final long LONG_WAIT_MILLIS = 1_000;

    private static final ImmutableMap<ErrorKind, Answer> ANSWERS = createAnswers();

    private AnswerTable() {}

    /** Returns the answer for {@code kind}. */
    public static Answer answerFor(ErrorKind kind) {
        return ANSWERS.get(kind);
    }

    private static ImmutableMap<ErrorKind, Answer> createAnswers() {
        EnumMap<ErrorKind, Answer> answers = new EnumMap<>(ErrorKind.class);
        for (ErrorKind kind : ErrorKind.values()) {
            answers.put(kind, createAnswer(kind));
        }
        return Maps.immutableEnumMap(answers);
    }

    private static Answer createAnswer(ErrorKind kind) {
        return switch (kind) {
            case INVALID_REQUEST, KEY_REQUIRED -> notRun(400, Resend.NEVER, 0);
            case UNKNOWN_SERVICE, UNKNOWN_REQUEST -> notRun(404, Resend.NEVER, 0);
            case UNKNOWN_CREDENTIAL -> notRun(401, Resend.NEVER, 0);
            case ALLOWANCE_EXCEEDED -> notRun(429, Resend.SAFE, LONG_WAIT_MILLIS);
            case ALLOWANCE_UNAVAILABLE, CONFIGURATION_MAY_BE_OLD -> notRun(503, Resend.SAFE, SHORT_WAIT_MILLIS);
            case BODY_TOO_LARGE -> notRun(413, Resend.NEVER, 0);
            case KEY_MISMATCH -> notRun(422, Resend.NEVER, 0);
            case KEY_IN_PROGRESS -> unknown(409, Resend.SAME_KEY, LONG_WAIT_MILLIS);
            case KEY_OUTCOME_UNKNOWN, KEY_EXPIRED -> unknown(409, Resend.NEVER, 0);
            case CLAIM_UNAVAILABLE, NO_CONFIGURATION -> notRun(503, Resend.SAFE, LONG_WAIT_MILLIS);
            case NO_TARGET, TARGET_REFUSED, SHUTTING_DOWN -> notRun(503, Resend.SAFE, SHORT_WAIT_MILLIS);
            case OVERLOADED, ZONES_EVACUATED -> notRun(503, Resend.SAFE, LONG_WAIT_MILLIS);
            case DEADLINE_BEFORE_SEND -> notRun(504, Resend.SAFE, 0);
            case DEADLINE_AFTER_SEND -> unknown(504, Resend.SAME_KEY, LONG_WAIT_MILLIS);
            case CONNECTION_LOST, ANSWER_CUT -> unknown(502, Resend.SAME_KEY, SHORT_WAIT_MILLIS);
            case CRASHING_REQUEST -> unknown(422, Resend.NEVER, 0);
            case INTERNAL -> unknown(500, Resend.SAME_KEY, LONG_WAIT_MILLIS);
        };
    }

    private static Answer notRun(int status, Resend resend, long retryAfterMillis) {
        return new Answer(status, Outcome.NOT_RUN, resend, retryAfterMillis);
    }

    private static Answer unknown(int status, Resend resend, long retryAfterMillis) {
        return new Answer(status, Outcome.UNKNOWN, resend, retryAfterMillis);
    }
}
