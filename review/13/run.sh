#!/usr/bin/env bash
# Two daemons act as the leader while a region is cut off, after a machine was added in the other one (review/lab-3/case13.go).
# With TROUBLE=0 it does the same without the disruption. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/lab-3 ] && [ -x target/rosemaryspoke ] || exit 2
exec target/review/lab-3 13 review/13 "${TROUBLE:-1}"
