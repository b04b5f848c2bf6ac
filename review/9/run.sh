#!/bin/sh
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.  Needs the build of the deploy file and
# review/build-2.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
GS_BINARY=$PWD/target/garnetstack
export GS_BINARY
[ -x "$GS_BINARY" ] && [ -x target/review-2/case-9 ] || exit 2
timeout -k 2 110 target/review-2/case-9 review/9/record.txt
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
