package io.anvilpick.settings;

/** Exit codes of all programs. All but {@link #CHECK_FAILED} follow the sysexits convention. */
public enum ExitCode {
    OK(0),
    /** The command line or a setting is invalid. */
    USAGE(64),
    /** The input file is invalid. */
    DATA(65),
    /** A file cannot be read. */
    NO_INPUT(66),
    /** Another program or the platform cannot be reached. */
    UNAVAILABLE(69),
    /** An internal error of the program. */
    SOFTWARE(70),
    /** The heap stayed full. */
    OUT_OF_MEMORY(71),
    /** The outcome is unknown. Running the program again is safe. */
    TRY_AGAIN(75),
    /** The rules of the contract forbid the change, or another change was accepted first. */
    REFUSED(77),
    /** A condition that the program checks does not hold. */
    CHECK_FAILED(1);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the exit status of the process. */
    public int code() {
        return code;
    }
}
