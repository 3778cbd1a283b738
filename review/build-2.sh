#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/stage-2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-stage-2 .
