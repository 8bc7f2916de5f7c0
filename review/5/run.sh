#!/usr/bin/env bash
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no worker is grey and no job is cancelled.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/trefoildeck-node ] && [ -x target/review/harness ] || { echo "not built: run the build of deploy/system.toml and review/build.sh" >&2; exit 2; }
timeout -k 5 115 target/review/harness probe review/5
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
