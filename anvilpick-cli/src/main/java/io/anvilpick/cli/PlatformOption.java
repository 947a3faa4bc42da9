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

/** The flag {@code --platform} of the commands that access the platform. */
public final class PlatformOption {
    @Option(
            name = "--platform",
            description = "Host and port of the platform's key-value service, such as 10.0.0.7:8080"
                    + " (or set ANVILPICK_PLATFORM)")
    private @Nullable String platform;

    private final ConfigurationCodec codec = new ConfigurationCodec();

    ConfigurationCodec codec() {
        return codec;
    }

    ConfigurationStore store(CommandContext context) throws CliException {
        return new ConfigurationStore(platform(context), codec);
    }

    Optional<ConfigurationStore.Stored> stored(CommandContext context)
            throws CliException, PlatformException, ConfigurationException {
        return store(context).load(null);
    }

    private Platform platform(CommandContext context) throws CliException {
        SettingsReader reader = new SettingsReader(context.environment());
        String address = reader.address("--platform", platform);
        if (!reader.errors().isEmpty()) {
            throw new CliException(ExitCode.USAGE, reader.errors().get(0));
        }
        return context.platformAt().apply(address);
    }
}
