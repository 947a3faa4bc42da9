package io.anvilpick.settings;

/** Exit codes of every program, after the convention of sysexits. */
public enum ExitCode {
    OK(0),
    /** The command line or a setting is wrong. */
    USAGE(64),
    /** The input file is wrong. */
    DATA(65),
    /** A file cannot be read. */
    NO_INPUT(66),
    /** Another program or the platform cannot be reached. */
    UNAVAILABLE(69),
    /** A fault in the program itself. */
    SOFTWARE(70),
    /** Whether it worked is not known; running it again is safe. */
    TRY_AGAIN(75),
    /** The rules of the contract forbid it, or another change came first. */
    REFUSED(77),
    /** Something that must hold did not hold. */
    CHECK_FAILED(1);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the number that the process exits with. */
    public int code() {
        return code;
    }
}
