#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. It needs the build of the deploy
# file before it, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin2 ./review/standin2
