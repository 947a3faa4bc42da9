package io.anvilpick.cli;

import com.github.rvesse.airline.annotations.Option;
import io.anvilpick.config.ConfigurationCodec;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.config.ConfigurationStore;
import io.anvilpick.platform.Platform;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.settings.ExitCode;
import io.anvilpick.settings.SettingsReader;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** The flag of commands that talk to the platform. */
public final class PlatformOption {
    @Option(name = "--platform", description = "Host and port of the platform's key-value service")
    private @Nullable String platform;

    private final ConfigurationCodec codec = new ConfigurationCodec();

    ConfigurationCodec codec() {
        return codec;
    }

    ConfigurationStore store(Console console) throws CliException {
        return new ConfigurationStore(platform(console), codec);
    }

    Optional<ConfigurationStore.Stored> stored(Console console)
            throws CliException, PlatformException, ConfigurationException {
        return store(console).load(null);
    }

    private Platform platform(Console console) throws CliException {
        SettingsReader reader = new SettingsReader(console.environment());
        String address = reader.address("--platform", platform);
        if (!reader.errors().isEmpty()) {
            throw new CliException(ExitCode.USAGE, reader.errors().get(0));
        }
        return console.platformAt().apply(address);
    }
}
