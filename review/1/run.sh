#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out; review/src/Lab.java reads the variable.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.."
exec java -Xmx512m -cp 'review/target/classes:platform/target/lib/*' StopCutsRequests review/1
