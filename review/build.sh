#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs the build of the deploy file, whose Jackson library the stand-ins use.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target/classes
javac -nowarn -d review/target/classes -cp 'platform/target/lib/*' review/src/*.java
