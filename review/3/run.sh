#!/usr/bin/env bash
cd "$(dirname "$0")/../.."
exec java -Xmx512m -cp 'review/target/classes:platform/target/lib/*' StopResetsSlowReader review/3
