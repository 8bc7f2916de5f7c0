#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/_harness2/standin
