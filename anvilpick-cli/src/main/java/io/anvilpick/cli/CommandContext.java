package io.anvilpick.cli;

import io.anvilpick.platform.Platform;
import io.anvilpick.time.TimeSource;
import java.io.PrintStream;
import java.util.Map;
import java.util.function.Function;

/**
 * The output streams and services that a command uses. Tests replace them.
 *
 * @param out the stream for results
 * @param err the stream for errors
 * @param environment the environment variables
 * @param platformAt returns a client of the platform at an address of host and port
 * @param time the source of time
 */
record CommandContext(
        PrintStream out,
        PrintStream err,
        Map<String, String> environment,
        Function<String, Platform> platformAt,
        TimeSource time) {}
