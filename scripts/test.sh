#!/usr/bin/env bash
# Runs all tests under the race detector.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -race -timeout 8m ./...
