# Functions for the scripts of the review. A script sources this file, starts the world and the daemons, makes its disruption
# (unless TROUBLE=0) and reads the verdict from record.txt.

# The limit of 120 s for the whole script.
if [ -z "${LIMITED:-}" ]; then LIMITED=1 exec timeout --preserve-status -k 3 115 "$0" "$@"; fi

here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$here/../.." && pwd)
standin=$root/target/review/standin
temporary=$(mktemp -d)
export RECORD=$here/record.txt
: >"$RECORD"
pids=()

end_all() {
	for pid in "${pids[@]}"; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	if [ -n "${KEEP_LOGS:-}" ]; then cp "$temporary"/*.log "$KEEP_LOGS"; fi
	rm -rf "$temporary"
}
trap end_all EXIT
trap 'cannot_run "it took too long"' TERM

cannot_run() {
	echo "the case could not run: $*" >&2
	exit 2
}

note() { echo "$(date +%s%3N) script: $*" >>"$RECORD"; }

# start_platform N: starts the store and N free addresses for servers, in ${addresses[@]}.
start_platform() {
	[ -x "$standin" ] && [ -x "$root/target/rosemaryspoke" ] || cannot_run "run the build of deploy/system.toml and review/build.sh first"
	mapfile -t ports < <("$standin" ports $((2 + $1)))
	store=127.0.0.1:${ports[0]}
	control=127.0.0.1:${ports[1]}
	addresses=("${ports[@]:2}")
	addresses=("${addresses[@]/#/127.0.0.1:}")
	"$standin" platform "$store" "$control" &
	pids+=($!)
	disown $!
	for _ in $(seq 50); do
		"$standin" control "$control" /leader >/dev/null 2>&1 && return
		sleep 0.1
	done
	cannot_run "the platform's stand-in does not answer"
}

# world PATH: changes the store, the configuration or a server, see standin/control.go.
world() { "$standin" control "$control" "$1" || cannot_run "control $1"; }

# start_daemon NAME: starts a daemon as deploy/system.toml does, with the settings of a small deployment.
declare -A front process
start_daemon() {
	local name=$1 p
	if [ -z "${front[$name]:-}" ]; then
		mapfile -t p < <("$standin" ports 4)
		front[$name]=127.0.0.1:${p[0]}
		settings "$name" "${p[@]}" >"$temporary/$name.toml"
	fi
	(
		cd "$root" && ulimit -n 4100 # maxFds
		ROSEMARYSPOKE_BOOT=$temporary/$name.toml exec target/rosemaryspoke serve >>"$temporary/$name.log" 2>&1
	) &
	process[$name]=$!
	world "/network?daemon=$name&pid=$!"
	pids+=($!)
	disown $!
}

# settings NAME FRONT READY CONTROL FIRST: the settings file of DEPLOY.md with the bounds of bensalem-quotes. The daemons use
# the first two of the internal ports.
settings() {
	cat <<-END
		node = "$1"
		role = "daemon"
		machineClass = "edge"
		serves = ["edge"]
		ip = "127.0.0.1"
		zone = "${zone:-sfax-a}"
		region = "${region:-sfax}"
		internalPorts = [$5,$(($5 + 1))]
		seeds = []
		bootstrap = true
		discovery = "platform"
		entry = "vip"
		heartbeatMs = 1500
		controlMode = "request"
		advice = ""
		[zones]
		sfax-a = "sfax"
		tunis-a = "tunis"
		[listen]
		front = "127.0.0.1:$2"
		ready = "127.0.0.1:$3"
		control = "127.0.0.1:$4"
		[limits]
		cpuShare = 0.4
		cores = 1
		memoryMb = 284
		maxFds = 4100
		linkMbps = 1000.0
		[bounds]
		contactMs = 3000
		ackMs = 4000
		drainMs = 2500
		graceS = 6
		lossSlackMs = 200
		configApplyMs = 2500
		rollbackSlackMs = 250
		failClosed = true
		revokeMs = 5000
		quotaOverage = 0.1
		recoveryS = 12
		holdMaxMs = 10000
		stopTimeoutMs = 200
		gangTimeoutMs = 3000
		cancel_ms = 3000
		visible_ms = 3000
		early_ms = 250
		finish_s = 14
		status_s = 120
		[platform]
		address = "$store"
		form = "kv"
		writesPerS = 400
		readsPerS = 2000
		historyS = 20
		valueBytes = 1048576
		minTtlMs = 1000
	END
}

# await_ready NAME: waits until a daemon is ready and takes a call.
await_ready() {
	for _ in $(seq 100); do
		case $("$standin" call GET "${front[$1]}" /price/ 2>/dev/null) in 200*) return ;; esac
		sleep 0.1
	done
	cannot_run "daemon $1 does not answer"
}
