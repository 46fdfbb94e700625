#!/usr/bin/env bash
# Builds the binaries and runs a short end-to-end check of them.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...
