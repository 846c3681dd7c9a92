#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start. It needs no network: the module has no
# dependencies. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off GOFLAGS=-mod=mod go build -C review/standin -buildvcs=false -o "$PWD/target/review-standin" .
