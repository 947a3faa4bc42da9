#!/usr/bin/env bash
# Plays the case once, without the disruption if TROUBLE=0. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
. "$here/../../bin/common.sh" || exit 2
code=0
"$JAVA_HOME/bin/java" -Xmx256m -cp "$top/target/review-2" CrashMemory "$here" "$top" "${TROUBLE:-1}" || code=$?
# The program ends with 10 if the rule was broken: a JVM that fails ends with 1.
case "$code" in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
