#!/usr/bin/env bash
# The store is down for 4.4 s while one job of 3,000 short tasks runs on two servers. Each server then has more than 500 ends that
# nobody has taken note of, and lists 500 at a time.
source "$(dirname "$0")/../lib.sh"

start_platform 2
world "/config?version=3&attempts=3"
world "/worker?do=start&id=i-1&address=${addresses[0]}&label=std&cpu=16000&mem=32000"
world "/worker?do=start&id=i-2&address=${addresses[1]}&label=std&cpu=16000&mem=32000"
for name in edge-1 edge-2 edge-3; do start_daemon "$name"; done
for name in edge-1 edge-2 edge-3; do await_ready "$name"; done

job=00000000000000a1
"$standin" submit "${front[edge-1]}" /price/$job '{"spec":"cpu=100 mem=100 ms=400","steps":[{"count":3000,"cpu":100,"memMb":100,"estimateMs":400}]}' ||
	cannot_run "the job was not accepted"
sleep 0.5
if [ "${TROUBLE:-1}" != 0 ]; then
	world "/store?mode=silent"
	sleep 4.4
	world "/store?mode=up"
else
	sleep 4.4
fi
for _ in $(seq 60); do
	"$standin" call GET "${front[edge-2]}" /price/$job >"$temporary/state"
	grep -q completed "$temporary/state" && break
	sleep 0.5
done
sleep 1

# TWICE: a start of a task after one of its runs has ended done, where that end was taken note of then or later.
awk -f "$here/../twice.awk" "$RECORD" | tee "$temporary/verdict"
broken=${PIPESTATUS[0]}
while read -r line; do note "verdict: $line"; done <"$temporary/verdict"
# All lines of the first of these tasks, for the reader.
first=$(awk '/^task /{ print $2; exit }' "$temporary/verdict")
if [ -n "$first" ]; then grep "task $first .*run" "$RECORD" | while read -r line; do note "of $first: $line"; done; fi
grep -q "start: task" "$RECORD" || cannot_run "no task ran"
exit "$broken"
