#!/bin/sh
# Demo: starts a stand-in platform, backend servers in three availability zones
# and three entry hosts, runs one job of 170 tasks and shuts down gracefully.
# usage: tools/demo.sh BUILD_DIR
set -eu
bin=$1
dir=$(mktemp -d)
pids=""

cleanup() {
	for pid in $pids; do
		kill "$pid" 2>/dev/null || :
	done
	rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

# wait_for FILE: waits until a program has written its port file, at most 10 s.
wait_for() {
	tries=200
	while [ ! -s "$1" ]; do
		tries=$((tries - 1))
		[ $tries -gt 0 ] ||
		    { echo "demo: no port file $1 after 10 s" >&2; exit 1; }
		sleep 0.05
	done
}

# port FILE NAME: prints the port of that name.
port() {
	awk -v name="$2" '$1 == name { print $2 }' "$dir/$1"
}

echo "demo: starting platform and backend servers (stand-ins)"
"$bin/standin_platform" --port-file "$dir/platform" &
pids="$pids $!"
for az in ahmedabad vadodara surat; do
	"$bin/standin_backend" --port-file "$dir/$az" --servers 4 \
	    --prefix "$az-" --speeds 100,200,50,100 &
	pids="$pids $!"
done
wait_for "$dir/platform"

echo "demo: starting three entry hosts"
hosts=""
seeds=""
for az in ahmedabad vadodara surat; do
	wait_for "$dir/$az"
	# shellcheck disable=SC2086
	"$bin/berylraild" --host "$az-1" --az "$az" \
	    --listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 \
	    --platform "http://127.0.0.1:$(port platform platform)" \
	    --drain-delay-ms 100 --port-file "$dir/host-$az" $seeds &
	pids="$pids $!"
	hosts="$hosts $!"
	wait_for "$dir/host-$az"
	seeds="$seeds --peer 127.0.0.1:$(port "host-$az" peer)"
done
server="http://127.0.0.1:$(port host-vadodara http)"

echo "demo: applying the configuration"
{
	printf '{"why": "demo", "ops": ['
	printf '{"op": "put", "kind": "service", "name": "booth",'
	printf ' "spec": {"path": "/run", "selector": "service=booth"}},'
	printf '{"op": "put", "kind": "job", "name": "polish-log",'
	printf ' "spec": {"service": "booth", "run_ms": 100,'
	printf ' "timeout_ms": 5000, "deadline_ms": 60000}}'
	for az in ahmedabad vadodara surat; do
		for i in 1 2 3 4; do
			printf ',{"op": "put", "kind": "server",'
			printf ' "name": "%s-%d",' "$az" "$i"
			printf ' "labels": {"service": "booth"}, "spec":'
			printf ' {"address": "127.0.0.1", "port": %d,' \
			    "$(port "$az" "$az-$i")"
			printf ' "az": "%s", "slots": 8, "connections": 64}}' \
			    "$az"
		done
	done
	printf ']}\n'
} >"$dir/change.json"
export BERYLRAIL_SERVER="$server"
"$bin/berylrail" config apply -f "$dir/change.json"
"$bin/berylrail" get servers

echo "demo: running one job of 170 tasks"
"$bin/berylrail" submit polish-log --tasks 170 --body '{"ms": 100}' --wait \
    >"$dir/answer.json"
head -c 400 "$dir/answer.json"
echo
grep -q '"outcome": *"complete"' "$dir/answer.json" ||
    grep -q 'complete' "$dir/answer.json" ||
    { echo "demo: the answer is not complete" >&2; exit 1; }

echo "demo: stopping all entry hosts"
for pid in $hosts; do
	kill -TERM "$pid"
done
for pid in $hosts; do
	wait "$pid" ||
	    { echo "demo: entry host (pid $pid) did not exit with 0" >&2; exit 1; }
done
echo "demo: done"
