#!/usr/bin/env bash
# Builds the binaries, validates the example declarations and runs the demo for a few seconds.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...
for site in ng-south neng; do
	bin/figlbctl validate -base examples/base.ini -overlay "examples/$site.ini"
done
scripts/demo.sh neng 6
