#!/usr/bin/env bash
# Runs the case: main.go is its script. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rosemaryspoke ] && [ -x target/review-2/9 ] || exit 2
exec target/review-2/9 review/9
