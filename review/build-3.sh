#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
GOWORK=off go build -o ../../target/standin3 .
