package io.anvilpick.error;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class AnswerTableTest {
    /** Kinds that occur only after bytes of a call may have reached a target. */
    private static final Set<ErrorKind> AFTER_SENDING =
            EnumSet.of(ErrorKind.CONNECTION_LOST, ErrorKind.ANSWER_CUT, ErrorKind.DEADLINE_AFTER_SEND);

    @Test
    void everyKindHasAnAnswerWithAnErrorStatus() {
        for (ErrorKind kind : ErrorKind.values()) {
            assertTrue(AnswerTable.answerFor(kind).status() >= 400, kind.name());
        }
    }

    @Test
    void kindsAfterSendingAreNeverReportedAsNotRunOrSafeToResend() {
        for (ErrorKind kind : AFTER_SENDING) {
            assertEquals(Outcome.UNKNOWN, AnswerTable.answerFor(kind).outcome(), kind.name());
            assertNotEquals(Resend.SAFE, AnswerTable.answerFor(kind).resend(), kind.name());
        }
    }

    @Test
    void onlyCallsThatDidNotRunAreSafeToResend() {
        for (ErrorKind kind : ErrorKind.values()) {
            Answer answer = AnswerTable.answerFor(kind);
            if (answer.resend() == Resend.SAFE) {
                assertEquals(Outcome.NOT_RUN, answer.outcome(), kind.name());
            }
        }
    }
}
