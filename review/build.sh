#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start: one program, without any dependency.
set -euo pipefail
cd "$(dirname "$0")/world"
GOWORK=off GOFLAGS= go build -o ../bin/world .
