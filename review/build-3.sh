#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start: one program, of this module.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-world-3 ./review/world-3
