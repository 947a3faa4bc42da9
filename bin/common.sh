# Functions shared by the scripts in this folder: finds JDK 25 and the jars, and builds missing or outdated jars.
set -euo pipefail
top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)

find_jdk() {
    local candidate
    for candidate in "${ANVILPICK_JAVA_HOME:-}" "${JAVA_HOME:-}" /usr/lib/jvm/temurin-25-jdk-* /usr/lib/jvm/*25*; do
        if [ -x "$candidate/bin/java" ] && "$candidate/bin/java" -version 2>&1 | grep -q 'version "25'; then
            printf '%s\n' "$candidate"
            return 0
        fi
    done
    echo "anvilpick: no JDK 25 found; install Temurin 25 under /usr/lib/jvm or set ANVILPICK_JAVA_HOME" >&2
    return 78
}

JAVA_HOME=$(find_jdk)
export JAVA_HOME
# Native transports are not on the class path. Netty and Armeria therefore use the NIO transport of the JDK.
java_flags=(-Dcom.linecorp.armeria.transportType=nio --enable-native-access=ALL-UNNAMED
    --sun-misc-unsafe-memory-access=allow -XX:+UseSerialGC)

in_distribution() {
    [ -d "$top/lib" ]
}

lib_dir() {
    if in_distribution; then
        printf '%s\n' "$top/lib"
        return
    fi
    printf '%s\n' "$top/anvilpick-dist/target/anvilpick/anvilpick/lib"
}

build_if_needed() {
    if in_distribution; then
        return
    fi
    local lib
    lib=$(lib_dir)
    if [ -d "$lib" ] && [ -z "$(find "$top" -path '*/src/main/*' -newer "$lib" -type f -print -quit)" ]; then
        return
    fi
    echo "anvilpick: building" >&2
    (cd "$top" && mvn -B -q -ntp -DskipTests -Dspotless.check.skip=true package >&2)
    touch "$lib"
}

run_java() {
    exec "$JAVA_HOME/bin/java" "${java_flags[@]}" -cp "$(lib_dir)/*" "$@"
}
