#!/bin/sh
# Builds the stand-ins and the tests of all cases, with the JDK alone. Needs no network.
cd "$(dirname "$0")" || exit 1
rm -rf target
mkdir -p target && exec javac -Xlint:all -Werror -encoding UTF-8 -d target harness/*.java
