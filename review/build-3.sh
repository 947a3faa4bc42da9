#!/usr/bin/env bash
# Compiles the stand-ins and cases of the third review into target/review-3.
. "$(dirname "$0")/../bin/common.sh"
cd "$top"
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" -Xlint:all -Werror -d target/review-3 review/standins-3/*.java
