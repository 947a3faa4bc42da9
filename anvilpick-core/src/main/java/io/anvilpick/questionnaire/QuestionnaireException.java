package io.anvilpick.questionnaire;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** A questionnaire with faults; nothing of it was used. */
public final class QuestionnaireException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient ImmutableList<Fault> faults;

    /** Creates an exception that lists every fault found. */
    public QuestionnaireException(List<Fault> faults) {
        super(faults.size() + " faults in the questionnaire");
        this.faults = ImmutableList.copyOf(faults);
    }

    /** Returns every fault, in the order of the questionnaire. */
    public ImmutableList<Fault> faults() {
        return faults;
    }
}
