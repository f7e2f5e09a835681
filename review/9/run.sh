#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; the rule has to hold then.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/harness-2/target/Stand.class ] || { echo "run review/build-2.sh first"; exit 2; }
exec java -Xmx512m -Dtrouble="${TROUBLE:-1}" -Droot="$PWD" -cp review/harness-2/target SendAndGo review/9
