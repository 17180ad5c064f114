#!/usr/bin/env bash
# Runs this case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
export BITTERNWING="$root/target/bitternwing"
runner="$root/target/review-2/run"
if [ ! -x "$BITTERNWING" ] || [ ! -x "$runner" ]; then
  echo "build the program and run review/build-2.sh first" >&2
  exit 2
fi
timeout -k 2 116 "$runner" stale_submission "$here"
status=$?
case "$status" in 0 | 1 | 2) exit "$status" ;; *) exit 2 ;; esac
