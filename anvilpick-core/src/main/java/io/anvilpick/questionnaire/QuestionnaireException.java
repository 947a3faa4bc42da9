package io.anvilpick.questionnaire;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Thrown for a questionnaire that has errors. No part of the questionnaire is used. */
public final class QuestionnaireException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient ImmutableList<FieldError> errors;

    /** Creates an exception with all errors found. */
    public QuestionnaireException(List<FieldError> errors) {
        super(errors.size() + " errors in the questionnaire");
        this.errors = ImmutableList.copyOf(errors);
    }

    /** Returns all errors, in the order in which they were found. */
    public ImmutableList<FieldError> errors() {
        return errors;
    }
}
