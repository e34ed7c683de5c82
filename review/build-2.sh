#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into review/target/standins-2, with the libraries that the build of the deploy
# file has put under platform/target/lib. Uses no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=review/target/standins-2
rm -rf "$out"
mkdir -p "$out"
javac -d "$out" -cp 'platform/target/lib/*' review/standins-2/*.java
cp review/standins-2/logback.xml "$out/"
