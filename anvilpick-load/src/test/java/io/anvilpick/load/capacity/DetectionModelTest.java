package io.anvilpick.load.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DetectionModelTest {
    private static final int ROUNDS_PER_SECOND = 2;

    /** Six daemons is the present size. Twenty-eight is the size of a region at the scale that the system is designed for. */
    @ParameterizedTest
    @CsvSource({"6, 1", "6, 2", "28, 1", "28, 2"})
    void daemonThatPausesForASecondIsNotSuspected(int daemons, long seed) throws Exception {
        DetectionModel.Result result = DetectionModel.run(daemons, ROUNDS_PER_SECOND, seed);
        assertEquals(daemons * (daemons - 1), result.maxGapSeconds().size());
        assertEquals(0, result.falseAlarmRate(result.suspectAfterSeconds()));
        assertTrue(
                result.falseAlarmRate(1) > 0,
                "a timeout of one second must raise false alarms; otherwise the check above proves nothing");
    }
}
