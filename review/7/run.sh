#!/usr/bin/env bash
# Needs target/trefoildeck-node, by the build of deploy/system.toml, and target/standin2, by review/build-2.sh.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.."

trouble=with
if [ "${TROUBLE:-1}" = 0 ]; then
	trouble=without
fi

exec target/standin2 refused review/7/record.txt "$trouble"
