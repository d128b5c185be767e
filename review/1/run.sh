#!/usr/bin/env bash
# Plays the case against the program that the deploy file builds; see claim.txt. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
standin=target/review/standin
edge=target/release/magnolia-edge
[ -x "$standin" ] && [ -x "$edge" ] || { echo "build first: deploy file and review/build.sh"; exit 2; }
exec "$standin" hopeless-jobs review/1/record.txt "$edge"
