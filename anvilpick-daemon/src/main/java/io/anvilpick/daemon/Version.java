package io.anvilpick.daemon;

/** The version of this build. */
final class Version {
    private Version() {}

    static String number() {
        String number = Version.class.getPackage().getImplementationVersion();
        return number == null ? "development" : number;
    }
}
