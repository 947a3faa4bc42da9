package io.anvilpick.load.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads the resource usage of processes from {@code /proc}. */
final class ProcessMeter {
    private static final double TICKS_PER_SECOND = 100;
    private static final int USER_TICKS_FIELD = 11;
    private static final int SYSTEM_TICKS_FIELD = 12;

    private final List<Long> pids;

    /**
     * Resources used by all processes together.
     *
     * @param cpuSeconds processor time in seconds
     * @param bytes bytes read and written by system calls, including those on sockets
     */
    record Usage(double cpuSeconds, double bytes) {
        Usage minus(Usage earlier) {
            return new Usage(cpuSeconds - earlier.cpuSeconds, bytes - earlier.bytes);
        }
    }

    ProcessMeter(List<Long> pids) {
        this.pids = List.copyOf(pids);
    }

    int processes() {
        return pids.size();
    }

    Usage usage() {
        double seconds = 0;
        double bytes = 0;
        for (long pid : pids) {
            seconds += cpuSecondsOf(pid);
            bytes += bytesOf(pid);
        }
        return new Usage(seconds, bytes);
    }

    private static double cpuSecondsOf(long pid) {
        String stat = read(pid, "stat");
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
        return (Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]))
                / TICKS_PER_SECOND;
    }

    private static double bytesOf(long pid) {
        return read(pid, "io")
                .lines()
                .filter(line -> line.startsWith("rchar:") || line.startsWith("wchar:"))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
                .sum();
    }

    private static String read(long pid, String file) {
        try {
            return Files.readString(Path.of("/proc", Long.toString(pid), file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
