package io.anvilpick.cli;

import io.anvilpick.platform.Platform;
import io.anvilpick.time.TimeSource;
import java.io.PrintStream;
import java.util.Map;
import java.util.function.Function;

/**
 * What a command works with, so that tests can put their own in place.
 *
 * @param out where results go
 * @param err where errors go
 * @param environment environment variables
 * @param platformAt reaches the platform at an address
 * @param time the source of time
 */
record Console(
        PrintStream out,
        PrintStream err,
        Map<String, String> environment,
        Function<String, Platform> platformAt,
        TimeSource time) {}
