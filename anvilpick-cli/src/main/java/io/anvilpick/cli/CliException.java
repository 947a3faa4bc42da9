package io.anvilpick.cli;

import io.anvilpick.settings.ExitCode;

/** Ends a command with an exit code. The message is printed for the operator. */
final class CliException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode code;

    CliException(ExitCode code, String message) {
        super(message);
        this.code = code;
    }

    ExitCode code() {
        return code;
    }
}
