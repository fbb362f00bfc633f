#!/bin/bash
# Checks the correct variant and the broken variants of every model with spin; see README.md.
set -euo pipefail

for tool in spin gcc; do
	if ! command -v "$tool" >/dev/null; then
		echo "spec/check.sh: $tool is not installed (Debian package $tool)" >&2
		exit 1
	fi
done

spec=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# search MODEL [FLAG] searches a variant and writes the report of pan to $work/MODEL-FLAG/report.
search() {
	local directory=$work/$1-${2:-correct}
	mkdir "$directory"
	cd "$directory"
	spin -a ${2:+-D"$2"} "$spec/$1.pml" >spin.out 2>&1 || { cat spin.out >&2; return 1; }
	gcc -w -O2 -DSAFETY -DMEMLIM=3000 -o pan pan.c
	# The exit code of pan differs between versions, so expect reads the report instead.
	./pan -m100000 >report 2>&1 || true
}

# expect MODEL FLAG KIND checks the report: the correct variant must have no error in a complete search, every other one an
# assertion violation.
expect() {
	local report=$work/$1-${2:-correct}/report errors states
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$report")
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$report")
	if [[ -z $errors || -z $states ]]; then
		echo "$1 ${2:-correct}: no result" >&2
		cat "$report" >&2
		return 1
	fi
	if [[ -z $2 ]]; then
		if [[ $errors != 0 ]] || grep -qE 'not completed|max search depth too small|out of memory' "$report"; then
			echo "$1: errors: $errors, or the search is not complete" >&2
			cat "$report" >&2
			return 1
		fi
		printf '%s: 0 errors, %s states' "$1" "$states"
		return
	fi
	if [[ $errors == 0 ]] || ! grep -q 'assertion violated' "$report"; then
		echo
		echo "$1 with $2: no counterexample in $states states" >&2
		return 1
	fi
	printf '; %s %s: counterexample after %s states' "$3" "$2" "$states"
}

broken=(ownership:NO_EPOCH_CHECK ownership:UNCONFIRMED ownership:ONE_LAG claim:ONE_VOTE limit:FREE_DEAD_PART freshness:NO_WAIT leader:ANY_PEER leader:NO_OVERLAP leader:UNKNOWN_DAEMON leader:SERVERS_BY_LEADER leader:SERVERS_BY_SUCCESSOR)
# Variants without an assumption; README.md describes the fault of each. A counterexample is expected for each.
assumptions=(ownership:ISOLATED_OWNER ownership:LATE_CALL)

# Four groups of searches run in parallel; the correct variant of ownership takes the longest.
search ownership &
parts=($!)
for pair in "${assumptions[@]}"; do
	search "${pair%:*}" "${pair#*:}"
done &
parts+=($!)
for pair in "${broken[@]}"; do
	search "${pair%:*}" "${pair#*:}"
done &
parts+=($!)
for model in claim limit freshness leader; do
	search "$model"
done &
parts+=($!)
for part in "${parts[@]}"; do
	wait "$part"
done

for model in ownership claim limit freshness leader; do
	expect "$model" "" ""
	for pair in "${broken[@]}"; do
		if [[ ${pair%:*} == "$model" ]]; then
			expect "$model" "${pair#*:}" broken
		fi
	done
	for pair in "${assumptions[@]}"; do
		if [[ ${pair%:*} == "$model" ]]; then
			expect "$model" "${pair#*:}" "without assumption"
		fi
	done
	echo
done
