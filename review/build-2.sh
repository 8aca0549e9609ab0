#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the program that the deploy file builds: one program with
# all stand-ins (clients, workers and the platform's store).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -o target/review-rig2 ./review/rig2
