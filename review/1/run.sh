#!/usr/bin/env bash
# Two servers of 16 cores in the other region, 8 ms away. A tenant sends a job of 50 short tasks every 0.5 s, which is a small part of what
# the servers can do. For 6.5 s it sends 7.5 times as much. 5 s later it cancels what hasn't ended.
source "$(dirname "$0")/../lib.sh"

start_platform 2
world "/config?version=3&attempts=3"
for n in 1 2; do
	world "/worker?do=start&id=i-$n&address=${addresses[n - 1]}&label=std&cpu=16000&mem=32000"
	world "/worker?do=link&id=i-$n&ms=8"
done
for name in edge-1 edge-2 edge-3; do start_daemon "$name"; done
for name in edge-1 edge-2 edge-3; do await_ready "$name"; done

# send_jobs FIRST LAST COUNT: submits the jobs of these numbers, one every 0.5 s, each of COUNT tasks of a tenth of a core and 0.3 s.
send_jobs() {
	for n in $(seq "$1" "$2"); do
		"$standin" submit "${front[edge-1]}" "/price/000000000000$n" \
			'{"spec":"cpu=100 mem=100 ms=300","steps":[{"count":'"$3"',"cpu":100,"memMb":100,"estimateMs":300}]}' || cannot_run "job $n was not accepted"
		sleep 0.5
	done
}
hot=375
if [ "${TROUBLE:-1}" = 0 ]; then hot=50; fi
send_jobs 1000 1003 50
send_jobs 1004 1016 $hot
sleep 5
for n in $(seq 1000 1016); do
	"$standin" call GET "${front[edge-2]}" /price/000000000000$n >"$temporary/state"
	grep -q completed "$temporary/state" || "$standin" call DELETE "${front[edge-2]}" /price/000000000000$n >/dev/null
done
# With no starts on their way, the servers' ends are listed and taken note of at last.
sleep 4

# TWICE: a start of a task after one of its runs has ended done, where that end was taken note of then or later.
awk -f "$here/../twice.awk" "$RECORD" | tee "$temporary/verdict"
broken=${PIPESTATUS[0]}
while read -r line; do note "verdict: $line"; done <"$temporary/verdict"
# All lines of the first of these tasks, for the reader.
first=$(awk '/^task /{ print $2; exit }' "$temporary/verdict")
if [ -n "$first" ]; then grep "task $first .*run" "$RECORD" | while read -r line; do note "of $first: $line"; done; fi
grep -q "start: task" "$RECORD" || cannot_run "no task ran"
exit "$broken"
