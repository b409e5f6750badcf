#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-15 ] || [ ! -x target/fuchsiahilld ]; then
  echo "build the deploy file and run review/build-3.sh first"
  exit 2
fi
exec target/review-15
