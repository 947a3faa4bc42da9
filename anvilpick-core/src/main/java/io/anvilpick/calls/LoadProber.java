package io.anvilpick.calls;

import io.anvilpick.dispatch.Call;
import io.anvilpick.dispatch.Dispatcher;
import java.util.Set;

/** Measures targets just before a call is sent to one of them. Implementations are thread safe. */
@FunctionalInterface
public interface LoadProber {
    /**
     * Tells {@code dispatcher} the present load of some targets that {@code call} may go to, blocking for a short time.
     *
     * @param excluded targets that the call will not go to
     */
    void measure(Dispatcher dispatcher, Call call, Set<String> excluded) throws InterruptedException;

    /** Returns a scout that measures nothing. */
    static LoadProber none() {
        return (dispatcher, call, excluded) -> {};
    }
}
