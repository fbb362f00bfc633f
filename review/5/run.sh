#!/usr/bin/env bash
# A server of 128 cores in the other region, 8 ms away. A caller submits a job of 2,500 small tasks and cancels it 0.3 s later.
# With TROUBLE=0 the job has 100 tasks.
source "$(dirname "$0")/../lib.sh"

start_platform 1
world "/config?version=3&attempts=3"
world "/worker?do=start&id=i-1&address=${addresses[0]}&label=std&cpu=128000&mem=256000"
world "/worker?do=link&id=i-1&ms=8"
for name in edge-1 edge-2 edge-3; do start_daemon "$name"; done
for name in edge-1 edge-2 edge-3; do await_ready "$name"; done

job=00000000000000a5
count=${COUNT:-2500}
if [ "${TROUBLE:-1}" = 0 ]; then count=100; fi
"$standin" submit "${front[edge-1]}" /price/$job \
	'{"spec":"cpu=50 mem=50 ms=4000","steps":[{"count":'$count',"cpu":50,"memMb":50,"estimateMs":4000}]}' || cannot_run "the job was not accepted"
sleep 0.3
"$standin" call DELETE "${front[edge-2]}" /price/$job >/dev/null
sleep 12

awk -v bound=3000 '
	/ DELETE .* -> 200/ { cancelled = $1 }
	/ start: task / { starts++; if (cancelled && $1 > cancelled + bound) { late++; last = $1 - cancelled } }
	END { print late + 0 " of " starts + 0 " starts came later than " bound " ms after the ack of the cancelling" (late ? ", the last " last " ms after it" : ""); exit late > 0 }' "$RECORD" | tee "$temporary/verdict"
broken=${PIPESTATUS[0]}
while read -r line; do note "verdict: $line"; done <"$temporary/verdict"
grep -q "DELETE .* -> 200" "$RECORD" || cannot_run "the job was not cancelled"
exit "$broken"
