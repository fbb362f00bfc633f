#!/usr/bin/env bash
# A timed job is run twice after a region was cut off and a worker there had restarted (review/lab-3/case12.go).
# With TROUBLE=0 it does the same without the disruption. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/lab-3 ] && [ -x target/rosemaryspoke ] || exit 2
exec target/review/lab-3 12 review/12 "${TROUBLE:-1}"
