#!/usr/bin/env bash
# Two daemons act as the leader while a region is cut off, after a machine was added in the other one (review/lab-3/case13.go).
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/lab-3 ] && [ -x target/rosemaryspoke ] || exit 2
exec target/review/lab-3 13 review/13
