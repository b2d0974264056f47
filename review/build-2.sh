#!/bin/sh
# Builds the stand-ins of the second review's scripts.
set -e
cd "$(dirname "$0")/sim2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review2-sim .
