#!/usr/bin/env bash
# Four servers. All open channels to the store go silent; new ones work. A second later one server reports that it drains, and the
# store accepts that. Jobs go on coming.
source "$(dirname "$0")/../lib.sh"

start_platform 4
world "/config?version=3&attempts=3"
for n in 1 2 3 4; do
	world "/worker?do=start&id=i-$n&address=${addresses[n - 1]}&label=std&cpu=8000&mem=32000"
done
for name in edge-1 edge-2 edge-3; do start_daemon "$name"; done
for name in edge-1 edge-2 edge-3; do await_ready "$name"; done

# A job of 24 tasks of one core, 0.5 s each, every 0.5 s for 12 s.
(
	for n in $(seq 10 33); do
		"$standin" submit "${front[edge-1]}" /price/00000000000000$n '{"spec":"cpu=1000 mem=100 ms=400","steps":[{"count":24,"cpu":1000,"memMb":100,"estimateMs":400}]}' >/dev/null 2>&1
		sleep 0.5
	done
) &
callers=$!
pids+=($callers)
sleep 3
if [ "${TROUBLE:-1}" != 0 ]; then world "/store?silence=channels"; fi
sleep 0.2
world "/worker?do=drain&id=i-2&remaining=12000"
wait $callers
sleep 1

# DRAIN: a machine in touch starts a task later than drainMs (2500 ms) after the report as draining was accepted. The machines are in
# touch from contactMs (3000 ms) after their channels went silent.
awk -v drain=2500 -v contact=3000 '
	/ open channels go silent$/ { silent = $1 }
	/ accepted its report as draining$/ && !accepted { accepted = $1; server = $2; sub(":", "", server) }
	/ start: task / && accepted && $2 == server && $1 > accepted + drain {
		if (silent && $1 <= silent + contact) { excused++; next }
		broken++
		if (broken <= 3) print $2 " was told to start " $5 " " $1 - accepted " ms after its report, " (silent ? $1 - silent " ms after the silence" : "")
	}
	END { print broken + 0 " starts later than " drain " ms after the report, " excused + 0 " more not in touch"; exit broken > 0 }' "$RECORD" | tee "$temporary/verdict"
broken=${PIPESTATUS[0]}
while read -r line; do note "verdict: $line"; done <"$temporary/verdict"
grep -q "accepted its report as draining" "$RECORD" || cannot_run "no server drained"
exit "$broken"
