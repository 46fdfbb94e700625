#!/usr/bin/env bash
# Runs all tests: first the packages under the race detector, then the end-to-end tests of real
# processes, four at a time, then the tests with crowds of clients, one at a time. The tests listed
# in KNOWN-RED.txt run last; their results are printed and do not fail the script.
set -euo pipefail
cd "$(dirname "$0")/.."

# Patterns of the tests that CI passes over, as listed in KNOWN-RED.txt: specs of the platform
# suite, and tests of all other packages with the package to run them in. Empty: none.
red_specs=''
red_tests=''
red_package=''
# The tests of package test/crowd that KNOWN-RED.txt lists, one a line, as a pattern.
red_crowds=$(sed -nE 's/^[0-9]+\. test\/crowd (Test[A-Za-z0-9]+):.*/\1/p' KNOWN-RED.txt | paste -sd '|')

# The end-to-end tests measure times across several processes, so they do not run concurrently
# with the other tests. Package platform needs a flag that other packages do not accept, so it
# has its own command, which runs concurrently with the other packages.
platform_log=$(mktemp)
trap 'rm -f "$platform_log"' EXIT
go test -race -timeout 8m ./platform ${red_specs:+-ginkgo.skip "$red_specs"} >"$platform_log" 2>&1 &
platform=$!
go test -race -timeout 8m ${red_tests:+-skip "$red_tests"} $(go list ./... | grep -v -e /test/e2e -e /test/crowd -e /test/deploy -e '/platform$') || failed=1
wait "$platform" || failed=1
cat "$platform_log"
[ -z "${failed:-}" ] || exit 1
# Fuzzes the parser of targets' responses with malformed bytes: the inputs of the seed corpus, and
# newly generated ones: a number of them, since a limit by time may itself end as a failure (Go 1.26).
go test ./gateway/upstream -run "^$" -fuzz FuzzReadAnswer -fuzztime 200000x
go test ./platform -run "^$" -fuzz FuzzListPage -fuzztime 100000x
# Runs the build of the deploy file in copies of the repository, beside no test that measures times.
go test -count=1 -timeout 15m ./test/deploy
go tool ginkgo -procs=4 --no-color --timeout 8m ./test/e2e
# These measure the memory and the descriptors of a process, so nothing else runs beside them.
go test -count=1 -timeout 15m ./test/crowd ${red_crowds:+-skip "^($red_crowds)\$"}

if [ -n "$red_tests" ]; then
	echo "tests of KNOWN-RED.txt:"
	go test -race "$red_package" -v -run "$red_tests" || echo "known to fail: tests of $red_package"
fi
if [ -n "$red_specs" ]; then
	echo "specs of KNOWN-RED.txt:"
	go test -race ./platform -ginkgo.focus "$red_specs" || echo "known to fail: specs of platform"
fi
if [ -n "$red_crowds" ]; then
	echo "crowds of KNOWN-RED.txt: $red_crowds"
	go test -count=1 -timeout 15m ./test/crowd -v -run "^($red_crowds)\$" || echo "known to fail: tests of test/crowd"
fi
