package io.anvilpick.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.anvilpick.config.RequestConfig;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LatencyBaselinesTest {
    private final LatencyBaselines baselines = new LatencyBaselines();

    private static RequestConfig request(String name) {
        return new RequestConfig(name, "*", "/" + name + "/", true, false, 2_000, 1);
    }

    /** Guards against a heap that fills with the baselines of routes that each version renames. */
    @Test
    void baselinesOfRemovedRequestsAreDropped() {
        baselines.of(request("kept")).add(5);
        baselines.of(request("removed")).add(7);
        baselines.retain(Set.of("kept"));
        assertEquals(5, baselines.medianNanos(request("kept")));
        assertEquals(0, baselines.medianNanos(request("removed")));
    }
}
