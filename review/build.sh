#!/usr/bin/env bash
# Compiles the stand-ins and the cases of this folder into target/review. Needs only the JDK.
. "$(dirname "$0")/../bin/common.sh"
cd "$top"
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -proc:none -Xlint:all -d target/review review/standins/*.java review/*/*.java
