#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. It needs Go alone: no network and no module.
set -euo pipefail
cd "$(dirname "$0")/world-2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../../target/review-world-2 .
