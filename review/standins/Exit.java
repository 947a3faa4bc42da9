package review;

/** Ends the process with the result of a case. */
final class Exit {
    /** The exit code of a case that could not run. */
    static final int COULD_NOT_RUN = 2;

    private Exit() {}

    /** A case, which returns 1 if the rule was broken, 0 if it held, and {@link #COULD_NOT_RUN} if it could not run. */
    @FunctionalInterface
    interface Case {
        int run() throws Exception;
    }

    static void with(Case tried) {
        int code = COULD_NOT_RUN;
        try {
            code = tried.run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
