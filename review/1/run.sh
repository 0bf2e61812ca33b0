#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
CASE_TMP="$(mktemp -d)" || exit 2
export CASE_TMP
trap 'rm -rf "$CASE_TMP"' EXIT
python3 case.py &
trap 'kill $!' INT TERM
wait $!
status=$?
wait
exit "$status"
