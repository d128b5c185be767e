#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/magnolia-edge ] || [ ! -x target/review-3/cases ]; then
    echo "build with the command of deploy/system.toml and review/build-3.sh first" >&2
    exit 2
fi
exec target/review-3/cases filler-after-fillers review/15
