#!/usr/bin/env bash
# A timed job is run twice after a region was cut off and a worker there had restarted (review/lab-3/case12.go).
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/lab-3 ] && [ -x target/rosemaryspoke ] || exit 2
exec target/review/lab-3 12 review/12
