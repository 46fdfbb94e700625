#!/usr/bin/env bash
# Measures how much figlb adds to the time to first token, at 500 requests per second through
# 1, 2, 4, 6 and 8 entries and 3 state members on the local host. The same run also measures
# direct calls to the engine and the time of a durable round, for comparison.
# Usage: scripts/bench-ttft.sh [ENTRIES,...] [SECONDS-PER-WINDOW]
set -euo pipefail
cd "$(dirname "$0")/.."
exec go run ./test/bench -sizes "${1:-1,2,4,6,8}" -window "${2:-5}s" -rounds 3 ttft
