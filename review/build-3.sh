#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the program of the deploy file: one program with all
# stand-ins (the platform's store, workers, clients).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -o target/review-rig3 ./review/rig3
