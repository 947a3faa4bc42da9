package io.anvilpick.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Reads settings, each from a flag or else from its environment variable, and collects every fault. Not thread safe.
 *
 * <p>The flag {@code --call-port} has the environment variable {@code ANVILPICK_CALL_PORT}.
 */
public final class SettingsReader {
    private static final int MOST_PORT = 65_535;

    private final ImmutableMap<String, String> environment;
    private final List<String> errors = new ArrayList<>();

    /** Creates a reader. */
    public SettingsReader(Map<String, String> environment) {
        this.environment = ImmutableMap.copyOf(environment);
    }

    /** Returns the text of a setting that must be there. */
    public String text(String flag, @Nullable String given) {
        String value = valueOf(flag, given);
        if (value == null) {
            errors.add(flag + ": is missing; give the flag or set " + variableOf(flag));
            return "";
        }
        return value;
    }

    /** Returns the text of a setting, or {@code otherwise} where it is not there. */
    public String text(String flag, @Nullable String given, String otherwise) {
        String value = valueOf(flag, given);
        return value == null ? otherwise : value;
    }

    /** Returns a whole number from {@code least} to {@code most}, or {@code otherwise} where it is not there. */
    public int wholeNumber(String flag, @Nullable String given, int least, int most, int otherwise) {
        String value = valueOf(flag, given);
        if (value == null) {
            return otherwise;
        }
        try {
            int number = Integer.parseInt(value);
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number out of range.
        }
        errors.add(flag + ": '" + value + "': must be a whole number from " + least + " to " + most);
        return otherwise;
    }

    /** Returns a positive number, or {@code otherwise} where it is not there. */
    public double number(String flag, @Nullable String given, double otherwise) {
        String value = valueOf(flag, given);
        if (value == null) {
            return otherwise;
        }
        try {
            double number = Double.parseDouble(value);
            if (number >= 0 && Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number out of range.
        }
        errors.add(flag + ": '" + value + "': must be a number, zero or more");
        return otherwise;
    }

    /** Returns a port; zero stands for any that is free. */
    public int port(String flag, @Nullable String given, int otherwise) {
        return wholeNumber(flag, given, 0, MOST_PORT, otherwise);
    }

    /** Returns an address of host and port that must be there. */
    public String address(String flag, @Nullable String given) {
        String value = text(flag, given);
        if (!value.isEmpty()) {
            checkAddress(flag, value);
        }
        return value;
    }

    /** Returns addresses parted by commas; none where the setting is not there. */
    public ImmutableList<String> addresses(String flag, @Nullable String given) {
        String value = text(flag, given, "");
        if (value.isEmpty()) {
            return ImmutableList.of();
        }
        ImmutableList<String> addresses = ImmutableList.copyOf(value.split(",", -1));
        addresses.forEach(address -> checkAddress(flag, address));
        return addresses;
    }

    /** Returns every fault found so far. */
    public ImmutableList<String> errors() {
        return ImmutableList.copyOf(errors);
    }

    private void checkAddress(String flag, String value) {
        try {
            if (HostAndPort.fromString(value).hasPort()) {
                return;
            }
        } catch (IllegalArgumentException e) {
            // Reported below, like an address without a port.
        }
        errors.add(flag + ": '" + value + "': must be host and port, such as 10.0.0.7:8080");
    }

    private @Nullable String valueOf(String flag, @Nullable String given) {
        return given != null ? given : environment.get(variableOf(flag));
    }

    private static String variableOf(String flag) {
        return "ANVILPICK_" + flag.substring(2).toUpperCase(Locale.ROOT).replace('-', '_');
    }
}
