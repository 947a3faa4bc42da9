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
 * Reads settings from flags and environment variables, and collects all errors. Not thread safe.
 *
 * <p>A flag has precedence over its environment variable. For example, the flag {@code --call-port} has the environment
 * variable {@code ANVILPICK_CALL_PORT}. The parameter {@code flagValue} of each method is null if the flag is absent.
 *
 * <p>A method that finds an invalid value adds an error to {@link #errors} and still returns a value. The values must
 * not be used if there are errors.
 */
public final class SettingsReader {
    private static final int MAX_PORT = 65_535;

    private final ImmutableMap<String, String> environment;
    private final List<String> errors = new ArrayList<>();

    /** Creates a reader of flags and the variables in {@code environment}. */
    public SettingsReader(Map<String, String> environment) {
        this.environment = ImmutableMap.copyOf(environment);
    }

    /** Returns the text of a required setting, or the empty string if it is missing, which is an error. */
    public String text(String flag, @Nullable String flagValue) {
        String value = valueOf(flag, flagValue);
        if (value == null) {
            errors.add(flag + ": is missing; give the flag or set " + environmentVariable(flag));
            return "";
        }
        return value;
    }

    /** Returns the text of a setting, or {@code defaultValue} if it is missing. */
    public String text(String flag, @Nullable String flagValue, String defaultValue) {
        String value = valueOf(flag, flagValue);
        return value == null ? defaultValue : value;
    }

    /** Returns a whole number from {@code min} to {@code max}, or {@code defaultValue} if it is missing. */
    public int wholeNumber(String flag, @Nullable String flagValue, int min, int max, int defaultValue) {
        String value = valueOf(flag, flagValue);
        if (value == null) {
            return defaultValue;
        }
        try {
            int number = Integer.parseInt(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number out of range.
        }
        errors.add(flag + ": '" + value + "': must be a whole number from " + min + " to " + max);
        return defaultValue;
    }

    /** Returns a finite number that is not negative, or {@code defaultValue} if it is missing. */
    public double number(String flag, @Nullable String flagValue, double defaultValue) {
        String value = valueOf(flag, flagValue);
        if (value == null) {
            return defaultValue;
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
        return defaultValue;
    }

    /** Returns a port, or {@code defaultValue} if it is missing. Zero stands for any free port. */
    public int port(String flag, @Nullable String flagValue, int defaultValue) {
        return wholeNumber(flag, flagValue, 0, MAX_PORT, defaultValue);
    }

    /** Returns a required address of host and port. */
    public String address(String flag, @Nullable String flagValue) {
        String value = text(flag, flagValue);
        if (!value.isEmpty()) {
            checkAddress(flag, value);
        }
        return value;
    }

    /** Returns addresses separated by commas, or an empty list if the setting is missing. */
    public ImmutableList<String> addresses(String flag, @Nullable String flagValue) {
        String value = text(flag, flagValue, "");
        if (value.isEmpty()) {
            return ImmutableList.of();
        }
        ImmutableList<String> addresses = ImmutableList.copyOf(value.split(",", -1));
        addresses.forEach(address -> checkAddress(flag, address));
        return addresses;
    }

    /** Returns all errors found so far. */
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

    private @Nullable String valueOf(String flag, @Nullable String flagValue) {
        return flagValue != null ? flagValue : environment.get(environmentVariable(flag));
    }

    private static String environmentVariable(String flag) {
        return "ANVILPICK_" + flag.substring(2).toUpperCase(Locale.ROOT).replace('-', '_');
    }
}
