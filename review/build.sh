#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start: one program, of this module.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/world ./review/world
