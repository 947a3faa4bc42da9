package io.anvilpick.daemon.target.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.anvilpick.dispatch.LoadReport;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against cold times that a target did not state, and against load reports lost with an invalid one. */
class LoadReportParserTest {
    private static final String LOAD = "2,1,4";

    private final ManualTimeSource time = ManualTimeSource.startingAt(5_000);

    @ParameterizedTest
    @CsvSource({
        "0, 0",
        "1500, 1500",
        "' 20 ', 20",
        "86400000, 86400000",
        "86400001, 86400000",
        "9000000000000000, 86400000"
    })
    void parsesTheTimeForWhichATargetStaysCold(String value, long millis) {
        Deadline warmAt = Deadline.after(time, Duration.ofMillis(millis));
        assertEquals(
                Optional.of(new LoadReport(2, 1, 1, Optional.of(warmAt))), LoadReportParser.parse(LOAD, value, time));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "1.5", "soon", "1,2", "99999999999999999999"})
    void ignoresAnInvalidTime(String value) {
        assertEquals(Optional.of(new LoadReport(2, 1, 1)), LoadReportParser.parse(LOAD, value, time));
    }

    @Test
    void parsesTheLoadWithoutATime() {
        assertEquals(Optional.of(new LoadReport(2, 1, 1)), LoadReportParser.parse(LOAD, null, time));
        assertEquals(Optional.empty(), LoadReportParser.parse(null, "20", time));
    }
}
