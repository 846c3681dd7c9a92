#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 and later, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/standin-2
