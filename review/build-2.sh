#!/usr/bin/env bash
# Builds what the scripts of the cases 4 to 8 start beside the program of the deploy file. It is a test binary, since the project's own
# stand-in of the store is for tests; it has no test, so the default test run plays no case.
set -euo pipefail

cd "$(dirname "$0")/.."
mkdir -p target
go test -c -o target/review-cases ./review
