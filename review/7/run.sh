#!/usr/bin/env bash
# A faulty backend sends, after some answers, the beginning of a second copy, cut at a random place.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
timeout -s TERM 115 java -Xmx512m -cp 'review/target/standins-2:platform/target/lib/*' CutCopies review/7/record.txt ANY
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
