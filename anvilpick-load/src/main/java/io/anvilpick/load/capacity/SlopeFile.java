package io.anvilpick.load.capacity;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.guava.GuavaModule;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes the JSON file of slopes from which the capacity page is computed. */
final class SlopeFile {
    private static final JsonMapper JSON =
            JsonMapper.builder().addModule(new GuavaModule()).build();

    private SlopeFile() {}

    static ImmutableList<Slope> read(Path file) {
        try {
            return ImmutableList.copyOf(JSON.readValue(Files.readString(file), Slope[].class));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Adds {@code measured} to {@code file}. Replaces slopes of the same name and keeps the others. */
    static void merge(Path file, List<Slope> measured) {
        List<Slope> all = new ArrayList<>(Files.exists(file) ? read(file) : List.of());
        for (Slope slope : measured) {
            all.removeIf(existing -> existing.name().equals(slope.name()));
            all.add(slope);
        }
        all.sort((a, b) -> a.name().compareTo(b.name()));
        try {
            Files.writeString(file, JSON.writerWithDefaultPrettyPrinter().writeValueAsString(all) + "\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
