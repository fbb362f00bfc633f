#!/usr/bin/env bash
# Two servers of 16 cores. Of 40 jobs two can never be done: five lasting tasks of 8 cores that work only together. The others have four
# tasks of one core and one second each. With TROUBLE=0 the two don't come.
source "$(dirname "$0")/../lib.sh"

start_platform 2
world "/config?version=3&attempts=3"
for n in 1 2; do
	world "/worker?do=start&id=i-$n&address=${addresses[n - 1]}&label=std&cpu=16000&mem=32000"
done
for name in edge-1 edge-2 edge-3; do start_daemon "$name"; done
for name in edge-1 edge-2 edge-3; do await_ready "$name"; done

submit() { "$standin" submit "${front[edge-1]}" "/price/$1" "$2" || cannot_run "job $1 was not accepted"; }
# 40 jobs in 3 s, the second and the third of them hopeless: 0.05.
for n in $(seq 1001 1040); do
	case $n in
	1002 | 1003)
		[ "${TROUBLE:-1}" = 0 ] || submit 000000000000$n '{"spec":"cpu=8000 mem=100 ms=600000","steps":[{"count":5,"cpu":8000,"memMb":100,"estimateMs":1000,"gang":true,"longRunning":true}]}'
		;;
	*) submit 000000000000$n '{"spec":"cpu=1000 mem=100 ms=1000","steps":[{"count":4,"cpu":1000,"memMb":100,"estimateMs":1000}]}' ;;
	esac
	sleep 0.06
done
note "the traffic ends"

# LOST: finish_s (14 s) after the end of the traffic, and for 3 s, a job has nothing running while a task's turn has come and there is
# capacity for it twice over. Nothing else uses the two servers, so that all of their 32 cores are free once no task runs.
sleep 14
note "from here on, for 3 s"
sleep 3
note "3 s later"
for n in $(seq 1001 1040); do
	case $n in 1002 | 1003) continue ;; esac
	"$standin" call GET "${front[edge-2]}" /price/000000000000$n
done >"$temporary/states"
awk '
	/from here on/ { from = $1; before = starts - ends }
	/ start: task / { starts++; if (from) during++ }
	/ end [0-9]+: task / { ends++ }
	/ -> 200 \{"state"/ { states[$NF]++ }
	END {
		for (s in states) print states[s] " jobs: " s
		print starts + 0 " starts in all, " before + 0 " runs in progress at the begin of the 3 s, " during + 0 " starts in them"
		exit states["{\"state\":\"queued\"}"] > 0 && before == 0 && during + 0 == 0
	}' "$RECORD" | tee "$temporary/verdict"
broken=${PIPESTATUS[0]}
while read -r line; do note "verdict: $line"; done <"$temporary/verdict"
if [ "$broken" = 0 ] && grep -qv completed "$temporary/states"; then cannot_run "some jobs are neither completed nor idle"; fi
exit "$broken"
