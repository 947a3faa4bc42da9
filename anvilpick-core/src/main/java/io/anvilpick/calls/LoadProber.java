package io.anvilpick.calls;

import io.anvilpick.dispatch.Call;
import io.anvilpick.dispatch.Dispatcher;
import java.util.Set;

/** Measures the load of targets just before a call is sent to one of them. Implementations are thread safe. */
@FunctionalInterface
public interface LoadProber {
    /**
     * Measures the current load of some targets that {@code call} may be sent to and records it in {@code dispatcher}.
     * Blocks for a short time.
     *
     * @param excluded ids of targets that the call will not be sent to
     */
    void measure(Dispatcher dispatcher, Call call, Set<String> excluded) throws InterruptedException;

    /** Returns a prober that does nothing. */
    static LoadProber none() {
        return (dispatcher, call, excluded) -> {};
    }
}
