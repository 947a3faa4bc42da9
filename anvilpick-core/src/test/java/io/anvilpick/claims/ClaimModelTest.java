package io.anvilpick.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Checks that at most one call wins a key.
 *
 * <p>The property holds when replies are lost, claiming calls pause, daemons restart and groups move.
 */
class ClaimModelTest {
    private static final int STEPS = 600;
    private static final int MUTANT_RUNS = 3_000;

    @Property(tries = 1_500, seed = "7")
    void noKeyIsEverWonTwice(@ForAll long seed) {
        assertEquals(0, keysWonTwice(seed, ClaimModel.Rules.SOUND));
    }

    /** Checks that the model detects a mutant whose moves do not require a majority of the old replicas. */
    @Test
    void moveWithoutMajorityIsDetected() {
        assertDetected(new ClaimModel.Rules(false, true));
    }

    /** Checks that the model detects a mutant that trusts keys after claims were lost. */
    @Test
    void trustAfterLossIsDetected() {
        assertDetected(new ClaimModel.Rules(true, false));
    }

    private static void assertDetected(ClaimModel.Rules mutant) {
        boolean detected = false;
        for (long seed = 0; seed < MUTANT_RUNS && !detected; seed++) {
            detected = keysWonTwice(seed, mutant) > 0;
        }
        assertTrue(detected, "the model does not detect the broken protocol");
    }

    private static long keysWonTwice(long seed, ClaimModel.Rules rules) {
        ClaimModel model = new ClaimModel(seed, rules);
        model.run(STEPS);
        return model.winsPerKey().values().stream().filter(wins -> wins > 1).count();
    }
}
