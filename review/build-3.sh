#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/14, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."

go build -o target/rig3 ./review/_rig3/standin
