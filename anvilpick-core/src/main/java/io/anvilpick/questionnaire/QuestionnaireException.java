package io.anvilpick.questionnaire;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** A questionnaire with errors; nothing of it was used. */
public final class QuestionnaireException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient ImmutableList<FieldError> errors;

    /** Creates an exception that lists every fault found. */
    public QuestionnaireException(List<FieldError> errors) {
        super(errors.size() + " errors in the questionnaire");
        this.errors = ImmutableList.copyOf(errors);
    }

    /** Returns every fault, in the order of the questionnaire. */
    public ImmutableList<FieldError> errors() {
        return errors;
    }
}
