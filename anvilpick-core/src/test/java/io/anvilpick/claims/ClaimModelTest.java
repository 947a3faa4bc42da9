package io.anvilpick.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** At most one call ever wins a key, whatever is lost, paused, restarted or moved. */
class ClaimModelTest {
    private static final int STEPS = 600;
    private static final int MUTANT_RUNS = 3_000;

    @Property(tries = 1_500, seed = "7")
    void noKeyIsEverWonTwice(@ForAll long seed) {
        assertEquals(0, keysWonTwice(seed, ClaimModel.Rules.SOUND));
    }

    /** Shows that the property can fail: a move that does not wait for a majority of the old replicas is caught. */
    @Test
    void moveWithoutMajorityIsCaught() {
        assertCaught(new ClaimModel.Rules(false, true));
    }

    /** Shows that the property can fail: trusting keys after claims were lost is caught. */
    @Test
    void trustAfterLossIsCaught() {
        assertCaught(new ClaimModel.Rules(true, false));
    }

    private static void assertCaught(ClaimModel.Rules broken) {
        boolean caught = false;
        for (long seed = 0; seed < MUTANT_RUNS && !caught; seed++) {
            caught = keysWonTwice(seed, broken) > 0;
        }
        assertTrue(caught, "the model cannot tell a broken protocol from a sound one");
    }

    private static long keysWonTwice(long seed, ClaimModel.Rules rules) {
        ClaimModel model = new ClaimModel(seed, rules);
        model.run(STEPS);
        return model.winsPerKey().values().stream().filter(wins -> wins > 1).count();
    }
}
