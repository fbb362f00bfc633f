#!/usr/bin/env bash
# Four servers of 16 cores. The first step of a job, one task of 3 s, runs on one of them, and the others are idle. While the store
# is down for 4.5 s, an idle server crashes and is back 0.5 s later, under its id and at its address, as a server of 8 cores. Then the
# second step starts, 64 tasks of one core.
source "$(dirname "$0")/../lib.sh"

start_platform 4
world "/config?version=3&attempts=3"
start_server() { world "/worker?do=start&id=i-$1&address=${addresses[$1 - 1]}&label=std&cpu=$2&mem=32000"; }
for n in 1 2 3 4; do start_server $n 16000; done
for name in edge-1 edge-2 edge-3; do start_daemon "$name"; done
for name in edge-1 edge-2 edge-3; do await_ready "$name"; done

job=00000000000000a2
step='"cpu":1000,"memMb":100,"estimateMs":3000'
"$standin" submit "${front[edge-1]}" /price/$job '{"spec":"cpu=1000 mem=100 ms=3000","steps":[{"count":1,'$step'},{"count":64,'$step',"after":[0]}]}' ||
	cannot_run "the job was not accepted"
sleep 1
busy=$(grep -o 'i-[1-4] start: task' "$RECORD" | head -1 | cut -c3)
idle=$((busy % 4 + 1))
if [ "${TROUBLE:-1}" != 0 ]; then
	world "/store?mode=silent"
	world "/worker?do=crash&id=i-$idle"
	sleep 0.5
	start_server $idle 8000
	sleep 4
	world "/store?mode=up"
else
	sleep 4.5
fi
sleep 6

# LIMIT: a start brings a server that doesn't guard its capacity over it.
awk '
	/ start: task / { used = $11 + 0; capacity = $13 + 0; starts++; if (used > capacity) { broken++; if (broken <= 3) print $0 } }
	END { print broken + 0 " of " starts + 0 " starts brought a server over its capacity"; exit broken > 0 }' "$RECORD" | tee "$temporary/verdict"
broken=${PIPESTATUS[0]}
while read -r line; do note "verdict: $line"; done <"$temporary/verdict"
[ "$(grep -c "start: task" "$RECORD")" -ge 65 ] || cannot_run "the second step did not run"
exit "$broken"
