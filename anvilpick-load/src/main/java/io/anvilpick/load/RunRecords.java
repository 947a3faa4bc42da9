package io.anvilpick.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/** Execution records that the targets have written to files. Immutable. */
final class RunRecords {
    private static final String PREFIX = "ran id=";

    private final Map<String, Integer> runs;

    private RunRecords(Map<String, Integer> runs) {
        this.runs = Map.copyOf(runs);
    }

    /** Reads all files in {@code folder}. */
    static RunRecords read(Path folder) {
        Map<String, Integer> runs = new HashMap<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : (Iterable<Path>) files::iterator) {
                count(Files.readAllLines(file, StandardCharsets.UTF_8), runs);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new RunRecords(runs);
    }

    /** Returns the number of calls that were executed more than once. */
    long doubled() {
        return runs.values().stream().filter(times -> times > 1).count();
    }

    /** Returns the number of calls in {@code answered} that were never executed. */
    long missing(Set<String> answered) {
        Set<String> missing = new HashSet<>(answered);
        missing.removeAll(runs.keySet());
        return missing.size();
    }

    /** Returns the number of calls in {@code refused} that were executed despite the refusal. */
    long ranDespiteRefusal(Set<String> refused) {
        return refused.stream().filter(runs::containsKey).count();
    }

    private static void count(List<String> lines, Map<String, Integer> runs) {
        for (String line : lines) {
            if (line.startsWith(PREFIX)) {
                String id = line.substring(PREFIX.length()).split(" ", 2)[0];
                runs.merge(id, 1, Integer::sum);
            }
        }
    }
}
