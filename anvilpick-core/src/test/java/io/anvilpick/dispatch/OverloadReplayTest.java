package io.anvilpick.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Replays a burst with one tenant that floods, and checks what callers get and what it costs. */
class OverloadReplayTest {
    private static final int DAEMONS = 5;
    private static final double LOAD = 0.26;
    private static final int ONE_LEVEL = 1;
    private static final int LEVELS = 3;
    private static final long SEED = 1;
    private static final double PROBES_PER_SECOND = 60;

    /** Starving means being served less than a quarter as often as all tenants. */
    private static final double STARVING = 0.25;

    /** Part of the calls by which two replays differ by chance. */
    private static final double CHANCE = 0.02;

    private static final Duration LEAST = Duration.ofMillis(50);
    private static final double MOSTLY = 0.9;

    private static OverloadReplay replay(int levels) {
        return new OverloadReplay(SEED, levels, LOAD, DAEMONS);
    }

    /** Guards against tenants without any service, either below urgent ones or because they are large. */
    @Test
    void noTenantStarves() {
        for (int levels : new int[] {ONE_LEVEL, LEVELS}) {
            OverloadReplay replay = replay(levels).run();
            for (String tenant : replay.askedAndServed.keySet()) {
                assertTrue(replay.relativeService(tenant) >= STARVING, () -> tenant + " starves: " + replay);
            }
        }
    }

    /** Guards against waiting calls that each probe the targets every 20 ms. */
    @Test
    void limitedProbesAreLessThanHalfAndServeNoLess() {
        OverloadReplay unlimited = replay(LEVELS).run();
        OverloadReplay limited = replay(LEVELS);
        limited.daemons().forEach(daemon -> daemon.setProbeLimit(PROBES_PER_SECOND));
        limited.run();
        assertTrue(limited.probes * 2 < unlimited.probes, () -> limited + " against " + unlimited);
        assertTrue(limited.served >= unlimited.served * (1 - CHANCE), () -> limited + " against " + unlimited);
    }

    /** Guards against refusals of calls that would have been served in time. */
    @Test
    void refusalAtOnceServesNoLessInTime() {
        OverloadReplay alone = new OverloadReplay(SEED, LEVELS, LOAD, 1).run();
        OverloadReplay shared = replay(LEVELS).run();
        assertTrue(shared.inTime >= alone.inTime * (1 - CHANCE), () -> shared + " against " + alone);
    }

    /** Guards against refused callers that all return after the same time or later than is of use to them. */
    @Test
    void refusedCallersReturnSpreadOverTheTimeThatTheQueueNeeds() {
        OverloadReplay replay = replay(LEVELS).run();
        // A caller that has less than 150 ms left is asked to return after the least time.
        List<Duration> spread = replay.returns.stream()
                .filter(each -> each.compareTo(LEAST) > 0)
                .toList();
        long distinct = spread.stream().distinct().count();
        assertTrue(distinct > spread.size() * MOSTLY && distinct > 0, () -> distinct + " of " + spread.size());
        assertTrue(replay.returns.stream()
                .allMatch(each -> each.compareTo(LEAST) >= 0 && each.compareTo(Duration.ofSeconds(2)) <= 0));
    }
}
