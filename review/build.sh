#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/harness ./review/_harness/standin
