package io.anvilpick.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.time.Deadline;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against calls to a cold target from a daemon that does not own it, and beyond the rate of its owner. */
class ColdTargetsTest extends EarliestAnswerFixture {
    private static final double PER_SECOND = 2;
    private static final Duration INTERVAL = Duration.ofMillis(500);
    private static final Duration WARM_UP = Duration.ofSeconds(20);
    private static final Duration GOAL = Duration.ofMillis(600);
    private static final int SLOTS = 4;
    private static final int MAX_PROBES = 4;
    private static final String COLD = "cold";
    private static final String WARM = "warm";

    private void own(String... ids) {
        dispatcher.setColdTargetRules(Optional.of(new ColdTargetRules(PER_SECOND, WARM_UP, ImmutableSet.copyOf(ids))));
    }

    /** Registers {@code ids}, each in a zone of its name. Only {@link #COLD} is cold, until {@code warmAt}. */
    private void register(Duration warmAt, String... ids) {
        ImmutableList.Builder<TargetConfig> configs = ImmutableList.builder();
        ImmutableMap.Builder<String, TargetTraits> traits = ImmutableMap.builder();
        for (String id : ids) {
            configs.add(new TargetConfig(id, "10.0.0." + id.length() + id.charAt(0) % 10, 80, id, false));
            traits.put(id, new TargetTraits(SLOTS, new Deadline(id.equals(COLD) ? warmAt.toNanos() : 0), 1));
        }
        dispatcher.configure(
                ServiceConfig.builder("s")
                        .slotsPerTarget(SLOTS)
                        .requests(ImmutableList.of())
                        .targets(configs.build())
                        .build(),
                traits.buildOrThrow());
    }

    private boolean isAssigned() {
        Call call = call(GOAL);
        Admission admission = dispatcher.submit(call);
        if (admission instanceof Admission.Assigned assigned) {
            answer(assigned.assignment());
            return true;
        }
        boolean ignored = dispatcher.cancel(call);
        return false;
    }

    private void report(Duration warmUp) {
        dispatcher.recordLoadReport(COLD, new LoadReport(0, 0, 1, Optional.of(Deadline.after(time, warmUp))));
    }

    @Test
    void ownerSendsAtTheRateAndBeginsAfterOneInterval() {
        own(COLD);
        register(WARM_UP, COLD);
        assertFalse(isAssigned());
        time.advance(INTERVAL);
        assertTrue(isAssigned());
        assertFalse(isAssigned());
        time.advance(INTERVAL.multipliedBy(6));
        assertTrue(isAssigned());
        assertFalse(isAssigned());
    }

    @Test
    void otherDaemonsSendNothingUntilTheTargetIsWarm() {
        own();
        register(WARM_UP, COLD);
        time.advance(WARM_UP.minusMillis(1));
        assertFalse(isAssigned());
        time.advance(Duration.ofMillis(1));
        assertTrue(isAssigned());
    }

    @Test
    void warmTargetsComeFirstWhileOneHasRoom() {
        own(COLD);
        register(WARM_UP, COLD, WARM);
        time.advance(INTERVAL);
        for (int i = 0; i < 3; i++) {
            assertEquals(WARM, send().target().id());
        }
        assertEquals(COLD, send().target().id());
        assertInstanceOf(Admission.Waiting.class, dispatcher.submit(call(GOAL)));
    }

    @Test
    void retriesAndHedgesCountAsSends() {
        own(COLD);
        register(WARM_UP, COLD, WARM);
        time.advance(INTERVAL);
        Assignment first = send();
        assertEquals(WARM, first.target().id());
        Assignment hedge = dispatcher.hedge(first).orElseThrow();
        assertEquals(COLD, hedge.target().id());
        answer(hedge);
        assertEquals(Optional.empty(), dispatcher.hedge(first));
        assertInstanceOf(Admission.Waiting.class, dispatcher.retry(call(GOAL), Set.of(WARM)));
    }

    @Test
    void replyToAProbeEndsOrBeginsTheColdTime() {
        own();
        register(WARM_UP, COLD);
        assertFalse(isAssigned());
        report(Duration.ZERO);
        assertTrue(isAssigned());
        report(Duration.ofSeconds(5));
        assertFalse(isAssigned());
        time.advance(Duration.ofSeconds(5));
        assertTrue(isAssigned());
    }

    /** Guards against an old registration that ends a cold time which the target has stated since. */
    @Test
    void registrationExtendsTheColdTimeOnly() {
        own();
        register(Duration.ZERO, COLD);
        report(Duration.ofSeconds(5));
        register(Duration.ofSeconds(1), COLD);
        time.advance(Duration.ofSeconds(4));
        assertFalse(isAssigned());
        register(Duration.ofSeconds(8), COLD);
        time.advance(Duration.ofSeconds(2));
        assertFalse(isAssigned());
        time.advance(Duration.ofSeconds(2));
        assertTrue(isAssigned());
    }

    @Test
    void targetsOfAReturnedZoneAreColdUnlessTheyReportOtherwise() {
        own();
        register(Duration.ZERO, COLD);
        dispatcher.setEvacuatedZones(Set.of(COLD));
        time.advance(Duration.ofSeconds(1));
        dispatcher.setEvacuatedZones(Set.of());
        time.advance(WARM_UP.minusMillis(1));
        assertFalse(isAssigned());
        report(Duration.ZERO);
        assertTrue(isAssigned());
    }

    /** Guards against a call that waits until its deadline for a target that is cold for longer. */
    @Test
    void callThatCannotWaitIsRefusedAtOnceWithoutDelayingTheCaller() {
        own();
        register(WARM_UP, COLD);
        assertEquals(new Admission.Refused(ErrorKind.OVERLOADED), dispatcher.submit(call(GOAL)));
    }

    /** Guards against a target that stays unused although it has become warm before its deadline. */
    @Test
    void coldTargetIsCheckedByProbesAtIntervals() {
        own();
        register(WARM_UP, COLD, WARM);
        int checks = 0;
        for (int i = 0; i < 100; i++) {
            for (TargetConfig target : dispatcher.targetsToProbe(call(GOAL), Set.of(), MAX_PROBES)) {
                checks += target.id().equals(COLD) ? 1 : 0;
            }
            time.advance(Duration.ofMillis(100));
        }
        assertEquals(5, checks);
    }

    @Test
    void nothingIsLimitedWithoutRules() {
        register(WARM_UP, COLD);
        for (int i = 0; i < 3; i++) {
            assertTrue(isAssigned());
        }
    }
}
