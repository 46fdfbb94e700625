#!/usr/bin/env bash
# Measures the time to first token that figlb adds, at 500 requests a second through 1, 2,
# 4, 6 and 8 entries and 3 state members on this machine, beside the engine called directly
# and the time of a durable round in the same run.
# Usage: scripts/bench-ttft.sh [ENTRIES,...] [SECONDS-PER-WINDOW]
set -euo pipefail
cd "$(dirname "$0")/.."
exec go run ./test/bench -sizes "${1:-1,2,4,6,8}" -window "${2:-5}s" -rounds 3 ttft
