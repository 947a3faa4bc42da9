package io.anvilpick.cli;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A line of a daemon's log that holds an event.
 *
 * @param line the line as logged
 * @param pairs the keys and values of the line
 */
record LogEvent(String line, ImmutableMap<String, String> pairs) {
    private static final Pattern PAIR = Pattern.compile("([a-z_]+)=(\"[^\"]*\"|\\S*)");
    private static final Splitter COMMAS = Splitter.on(',').omitEmptyStrings();

    /** Returns the event, or nothing if the line has no key {@code event}. */
    static Optional<LogEvent> parse(String line) {
        Map<String, String> pairs = new LinkedHashMap<>();
        Matcher matcher = PAIR.matcher(line);
        while (matcher.find()) {
            String value = matcher.group(2);
            boolean quoted = value.length() > 1 && value.startsWith("\"");
            pairs.putIfAbsent(matcher.group(1), quoted ? value.substring(1, value.length() - 1) : value);
        }
        return pairs.containsKey("event")
                ? Optional.of(new LogEvent(line, ImmutableMap.copyOf(pairs)))
                : Optional.empty();
    }

    /** Returns the value of {@code key}, or the empty string if the line does not have the key. */
    String value(String key) {
        return pairs.getOrDefault(key, "");
    }

    /** Returns whether the event is about the request {@code id}. */
    boolean isOfRequest(String id) {
        return value("event").startsWith("request_") && value("id").equals(id);
    }

    /** Returns the steps of the request in the order in which they were logged. */
    ImmutableList<String> steps() {
        return ImmutableList.copyOf(COMMAS.split(value("steps")));
    }
}
