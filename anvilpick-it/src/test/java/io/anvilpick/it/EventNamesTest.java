package io.anvilpick.it;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the operations page lists exactly the events that the code logs. */
class EventNamesTest {
    private static final Path REPOSITORY = Path.of("..");
    private static final ImmutableList<String> MODULES =
            ImmutableList.of("anvilpick-core", "anvilpick-daemon", "anvilpick-peer", "anvilpick-platform", "platform");
    private static final Pattern LOGGED = Pattern.compile("event=(%s)?([a-z_]+)");
    private static final Pattern LISTED = Pattern.compile("`([a-z_]+)`");

    /** The kinds of registrations, whose event names one log statement forms as {@code event=%s_...}. */
    private static final ImmutableSet<String> REGISTRATION_KINDS = ImmutableSet.of("target", "member");

    @Test
    void operationsPageListsExactlyTheLoggedEvents() throws IOException {
        assertEquals(loggedEvents(), listedEvents());
    }

    private static SortedSet<String> loggedEvents() throws IOException {
        SortedSet<String> names = new TreeSet<>();
        for (String module : MODULES) {
            try (Stream<Path> files = Files.walk(REPOSITORY.resolve(module).resolve("src/main/java"))) {
                for (Path file :
                        files.filter(each -> each.toString().endsWith(".java")).toList()) {
                    LOGGED.matcher(Files.readString(file)).results().forEach(found -> add(names, found));
                }
            }
        }
        return names;
    }

    private static void add(SortedSet<String> names, MatchResult found) {
        if (found.group(1) == null) {
            names.add(found.group(2));
            return;
        }
        REGISTRATION_KINDS.forEach(kind -> names.add(kind + found.group(2)));
    }

    private static SortedSet<String> listedEvents() throws IOException {
        String page = Files.readString(REPOSITORY.resolve("docs/OPERATIONS.md"));
        String section = page.substring(page.indexOf("## Events"), page.indexOf("## Settings that change"));
        SortedSet<String> names = new TreeSet<>();
        section.lines().filter(line -> line.startsWith("| `")).forEach(line -> {
            String firstColumn = line.split("\\|", -1)[1];
            LISTED.matcher(firstColumn).results().forEach(found -> names.add(found.group(1)));
        });
        return names;
    }
}
