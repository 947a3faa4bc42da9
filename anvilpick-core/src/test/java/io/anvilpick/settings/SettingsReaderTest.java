package io.anvilpick.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
    @Test
    void flagOverridesVariableAndVariableOverridesDefault() {
        SettingsReader reader = new SettingsReader(Map.of("ANVILPICK_CALL_PORT", "81"));
        assertEquals(80, reader.port("--call-port", "80", 82));
        assertEquals(81, reader.port("--call-port", null, 82));
        assertEquals(82, reader.port("--peer-port", null, 82));
        assertEquals(List.of(), reader.errors());
    }

    @Test
    void everyErrorNamesFlagValueAndReason() {
        SettingsReader reader = new SettingsReader(Map.of("ANVILPICK_PLATFORM", "nowhere"));
        reader.port("--call-port", "70000", 80);
        reader.text("--region", null);
        reader.address("--platform", null);
        reader.number("--mean-ms", "-1", 1);
        assertEquals(
                List.of(
                        "--call-port: '70000': must be a whole number from 0 to 65535",
                        "--region: is missing; give the flag or set ANVILPICK_REGION",
                        "--platform: 'nowhere': must be host and port, such as 10.0.0.7:8080",
                        "--mean-ms: '-1': must be a number, zero or more"),
                reader.errors());
    }
}
