#!/usr/bin/env bash
# Compiles the cases 6 to 10 and their stand-ins into target/review-2.
. "$(dirname "$0")/../bin/common.sh"
cd "$top"
rm -rf target/review-2
mkdir -p target/review-2
shopt -s nullglob
"$JAVA_HOME/bin/javac" -Xlint:all -Werror -d target/review-2 \
    review/standins-2/*.java review/6/*.java review/7/*.java review/8/*.java review/9/*.java review/10/*.java
