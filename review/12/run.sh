#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run.  TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program="target/review-3/case-$(basename "$folder")"
[ -x "$program" ] && [ -x target/garnetstack ] || exit 2
GS_BINARY="$PWD/target/garnetstack" timeout -k 5 115 "$program" \
  "$folder/record.txt" >/dev/null 2>&1
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
