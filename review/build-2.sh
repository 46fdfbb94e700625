#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./review/cases2
