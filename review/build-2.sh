#!/usr/bin/env bash
# Builds what the scripts of the cases 4 to 8 start beside the program of the deploy file.
set -euo pipefail

cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-cases ./review/cases
