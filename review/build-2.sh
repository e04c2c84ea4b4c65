#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start: one program, of this module.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-world-2 ./review/world-2
