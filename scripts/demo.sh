#!/usr/bin/env bash
# Starts a site on the local host with stand-ins for its model engines and services, runs agent
# programs through it, drains an availability zone and returns it to service, and stops the site.
# Usage: scripts/demo.sh [neng|ng-south] [SECONDS]
# Environment variables: RATE is the number of programs that each organisation starts per
# second (default 1), MEMBERS the number of state members (default 3), and JSON the file to
# which the full report is written, if set.
set -euo pipefail
cd "$(dirname "$0")/.."

site=${1:-neng}
seconds=${2:-20}
[ -e "examples/$site.ini" ] || { echo "unknown site $site: use neng or ng-south" >&2; exit 2; }

members=${MEMBERS:-3}
entries=6
dir=$(mktemp -d)
# The processes use loopback addresses in a random network, so that two concurrent runs are
# unlikely to use the same addresses.
net=127.$((RANDOM % 200 + 20))
overlay=$dir/$site.ini
sed "s/127\.0\./$net./" "examples/$site.ini" >"$overlay"
pids=()
stop() {
	for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap stop EXIT

step() { printf '\n== %s\n' "$*"; }
start() { # NAME COMMAND...: runs a process in the background and writes its output and log to files
	local name=$1
	shift
	"$@" >"$dir/$name.out" 2>"$dir/$name.log" &
	pids+=($!)
}
addresses() { # KEY-LINE: prints the addresses of the overlay's targets that have this line, separated by commas
	awk -v want="$1" '/^\[/ {a=""} /^address/ {a=$3} $0 == want {printf "%s%s", sep, a; sep=","}' "$overlay"
}
zones() { awk '/^\[zone /{gsub(/[\[\]]/, ""); print $2}' "$overlay"; }
wait_ready() { # ADDRESS...
	for a in "$@"; do
		for _ in $(seq 200); do
			curl -fsS -o /dev/null "http://$a/readyz" 2>/dev/null && continue 2
			sleep 0.1
		done
		echo "$a did not become ready; logs:" >&2
		tail -n 5 "$dir"/*.log >&2
		exit 1
	done
}

step "building"
go build -o bin/ ./cmd/...
mapfile -t zone < <(zones)

step "starting stand-ins: model engines, orders, catalogue and public services"
start engines bin/figlb-standin -role engine -listen "$(addresses 'model = proof-8b')"
start orders bin/figlb-standin -role orders -listen "$(addresses 'service = orders'),$(addresses 'service = catalogue'),$(addresses 'service = public')"

step "starting $members state members and $entries entries in availability zones ${zone[*]}"
list=
state=
for i in $(seq $members); do
	list+="${list:+,}state-$i=$net.30.$i:7000"
	state+="${state:+,}$net.30.$i:7000"
done
export FIGLB_STATE=$state
ready=()
for i in $(seq $members); do
	cat >"$dir/state-$i.ini" <<-EOF
		[state]
		id = state-$i
		zone = ${zone[$(((i - 1) % ${#zone[@]}))]}
		listen = $net.30.$i:7000
		admin = $net.30.$i:7001
		data = $dir/data-$i
		members = $list
	EOF
	if [ "$i" = 1 ]; then
		start "state-$i" bin/figlb-state -config "$dir/state-$i.ini" -bootstrap
	else
		start "state-$i" bin/figlb-state -config "$dir/state-$i.ini"
	fi
	ready+=("$net.30.$i:7001")
done
wait_ready "${ready[@]}"

step "applying examples/base.ini with examples/$site.ini"
bin/figlbctl plan -base examples/base.ini -overlay "$overlay" | tail -n 3
bin/figlbctl apply -base examples/base.ini -overlay "$overlay" -from 0 -note "first"

ready=()
urls=
for i in $(seq $entries); do
	cat >"$dir/entry-$i.ini" <<-EOF
		[entry]
		id = entry-$i
		zone = ${zone[$(((i - 1) % ${#zone[@]}))]}
		listen = $net.31.$i:8000
		admin = $net.31.$i:8001
		state = $state
		drain_notice = 500ms
	EOF
	start "entry-$i" bin/figlb-entry -config "$dir/entry-$i.ini"
	ready+=("$net.31.$i:8001")
	urls+="${urls:+,}http://$net.31.$i:8000"
done
wait_ready "${ready[@]}"

step "granting a key to each organisation"
{
	cat examples/load/programs.ini
	awk '/^\[organisation /{gsub(/[\[\]]/, ""); print $2}' "$overlay" | while read -r org; do
		key=$(bin/figlbctl key grant "$org" -output json | sed -n 's/.*"key": "\(.*\)",/\1/p')
		limits=$(awk -v org="[organisation $org]" '/^\[/ {on = $0 == org} on && /^(rate|burst) /' "$overlay")
		printf '\n[organisation %s]\nkey = %s\nprograms = %s/s\n%s\n' "$org" "$key" "${RATE:-1}" "$limits"
	done
} >"$dir/load.ini"
bin/figlbctl key list | awk 'NR <= 3' # head would exit early, and SIGPIPE would then terminate figlbctl
sleep 2

step "running programs for $seconds s; availability zone ${zone[0]} is drained after a third of the time and returned to service after two thirds"
bin/figlb-load -config "$dir/load.ini" -entries "$urls" -executions "http://$(addresses "service = orders" | cut -d, -f1)" -duration "${seconds}s" ${JSON:+-json "$JSON"} >"$dir/report.txt" &
load=$!
sleep $((seconds / 3))
bin/figlbctl drain zone "${zone[0]}"
sleep $((seconds / 3))
bin/figlbctl return zone "${zone[0]}"
status=0
wait "$load" || status=$?
cat "$dir/report.txt"

step "status"
bin/figlbctl status
step "stopping the entries with SIGTERM"
for pid in "${pids[@]: -$entries}"; do kill -TERM "$pid"; done
for pid in "${pids[@]: -$entries}"; do wait "$pid" || { echo "an entry exited with an error" >&2; status=1; }; done
echo "all entries stopped with exit code 0"
exit "$status"
