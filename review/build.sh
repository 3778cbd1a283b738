#!/bin/sh
# Builds the stand-ins of the scripts: gateways are those of the deploy file's build line.
set -e
cd "$(dirname "$0")/stage"
GOWORK=off CGO_ENABLED=0 go build -o ../../target/review/stage .
