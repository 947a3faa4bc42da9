package io.anvilpick.load.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DetectionModelTest {
    private static final int ROUNDS_PER_SECOND = 2;

    /** Six daemons are today's size, twenty-eight a region's at the size to design for. */
    @ParameterizedTest
    @CsvSource({"6, 1", "6, 2", "28, 1", "28, 2"})
    void daemonThatPausesForASecondIsNotSuspected(int daemons, long seed) throws Exception {
        DetectionModel.Result result = DetectionModel.run(daemons, ROUNDS_PER_SECOND, seed);
        assertEquals(daemons * (daemons - 1), result.longestSeconds().size());
        assertEquals(0, result.falseAlarms(result.suspectAfterSeconds()));
        assertTrue(result.falseAlarms(1) > 0, "a time so short does raise false alarms, so the check can fail");
    }
}
