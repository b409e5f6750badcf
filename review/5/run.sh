#!/usr/bin/env bash
# The leader is killed after a timed job's later occurrence has run before an earlier one.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-site ] && [ -x target/fuchsiahilld ] || { echo "build first: the build of deploy/system.toml, and review/build.sh"; exit 2; }
exec target/review-site -case occurrence -record review/5/record.txt
