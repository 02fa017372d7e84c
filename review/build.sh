#!/bin/sh
# Builds the stand-ins that the scripts start, into target/review. Needs no network.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review
go build -o ../target/review/ ./cmd/...
