#!/usr/bin/env bash
# Runs all tests: the packages under the race detector, then the end-to-end tests of real
# processes, four at a time.
set -euo pipefail
cd "$(dirname "$0")/.."
# The end-to-end tests measure times of several processes and run apart from the others.
go test -race -timeout 8m $(go list ./... | grep -v /test/e2e)
# Bytes of targets that are no answer: the corpus of past findings, and some new ones.
go test ./gateway/upstream -run "^$" -fuzz FuzzReadAnswer -fuzztime 5s
go tool ginkgo -procs=4 --no-color --timeout 8m ./test/e2e
