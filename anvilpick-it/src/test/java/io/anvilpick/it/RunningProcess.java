package io.anvilpick.it;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A main class of the project that runs as a separate process, with its output in files. */
final class RunningProcess implements AutoCloseable {
    private static final List<String> FLAGS = List.of(
            "-Xmx160m",
            "-XX:TieredStopAtLevel=1",
            "-XX:+UseSerialGC",
            "-Dcom.linecorp.armeria.transportType=nio",
            "--enable-native-access=ALL-UNNAMED",
            "--sun-misc-unsafe-memory-access=allow");

    private final Process process;
    private final Path output;

    private RunningProcess(Process process, Path output) {
        this.process = process;
        this.output = output;
    }

    static RunningProcess start(Path output, Class<?> program, List<String> arguments) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(program.getName());
        command.addAll(arguments);
        File errors = new File(output + ".err");
        Process process = new ProcessBuilder(command)
                .redirectOutput(output.toFile())
                .redirectError(errors)
                .start();
        return new RunningProcess(process, output);
    }

    String output() throws IOException {
        return Files.readString(output, StandardCharsets.UTF_8);
    }

    String errors() throws IOException {
        return Files.readString(Path.of(output + ".err"), StandardCharsets.UTF_8);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Kills the process without a shutdown, as a crash of its VM does. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Sends SIGTERM, on which the process shuts down in order. */
    void terminate() {
        process.destroy();
    }

    /** Sends the signal {@code name}, such as STOP or CONT, which suspend and resume the process. */
    void signal(String name) throws IOException, InterruptedException {
        int code = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
        if (code != 0) {
            throw new IOException("kill -" + name + " failed with exit code " + code);
        }
    }

    int exitCode(long seconds) throws InterruptedException {
        if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
            throw new AssertionError("process still running after " + seconds + " s");
        }
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
