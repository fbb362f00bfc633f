#!/usr/bin/env bash
# Jobs that can never be done keep all workers of their service from a task that lasts (review/lab-3/case14.go).
# With TROUBLE=0 it does the same without the disruption. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/lab-3 ] && [ -x target/rosemaryspoke ] || exit 2
exec target/review/lab-3 14 review/14 "${TROUBLE:-1}"
