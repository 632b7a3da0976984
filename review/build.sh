#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The gateway comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/standin
