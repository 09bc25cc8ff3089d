#!/usr/bin/env bash
# Runs the daemons and the stand-ins as separate processes on loopback, takes a
# failure domain out of service under load, and prints each step. Stops every
# process that it started. Exits non-zero if a check fails.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=()

# shellcheck disable=SC2317
finish() {
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	sleep 0.5
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap finish EXIT

say() { printf '%s\n' "$*"; }
fail() {
	say "demo: FAILED: $*"
	for f in "$dir"/*.log; do
		say "--- $(basename "$f")"
		tail -n 15 "$f"
	done
	exit 1
}

free_base() { # prints the first base port that nobody listens on
	local base
	for base in 27000 28000 29000 31000 32000; do
		if ! (exec 3<>"/dev/tcp/127.0.0.1/$base") 2>/dev/null; then
			printf '%d' "$base"
			return
		fi
	done
	return 1
}

start() { # name command...
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids+=($!)
	eval "pid_$name=$!"
}

until_ok() { # seconds what command...
	local end=$((SECONDS + $1)) what=$2
	shift 2
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -lt "$end" ] || fail "timed out waiting for $what"
		sleep 0.2
	done
}

base=$(free_base) || fail 'no free ports'
log="127.0.0.1:$base"
list="127.0.0.1:$((base + 1))"
demo/hosts.sh $((base + 10)) >"$dir/hosts.json"
entry() { printf '127.0.0.1:%d' $((base + 9 + $1)); }
all="$(entry 1),$(entry 2),$(entry 3)"
deck() { bin/deck --addr "$all" "$@"; }

say 'Starting the stand-ins for the platform and the backend servers, and one daemon in each of three failure domains.'
start platform bin/standin platform --log "$log" --list "$list" --hosts "$dir/hosts.json"
for d in 1 2 3; do
	start "backend$d" bin/standin backend --hosts "$dir/hosts.json" --domain "d$d"
done
for d in 1 2 3; do
	start "e$d" bin/deckd run --host "e$d" --domain "d$d" --listen "$(entry "$d")" --log "$log" --roster "$list" --seats 1 --lame 500ms
done
led() { [ "$(deck domain list | grep -c " e[123] ")" = 3 ]; }
for d in 1 2 3; do
	until_ok 15 "daemon e$d" bin/deck --addr "$(entry "$d")" health
done
until_ok 15 'a lead in each failure domain' led
say 'Every failure domain has a lead that places work:'
deck domain list

say 'Creating two workspaces: orders with a guaranteed gang of eight accelerators, camp with one of four.'
deck space set orders --shape 1x8:1000,2048,1
deck space set camp --shape 1x4:1000,2048,1

say 'Submitting a gang of eight tasks and sending 200 requests, half of them at most once.'
deck job submit orders --id cutplan --tasks 8 --each 1000,2048,1 --span 6s
phase() { [ "$(deck --json job status cutplan | grep -o '"phase":"[A-Z]*"')" = "\"phase\":\"$1\"" ]; }
at() { deck --json job status cutplan | grep -o '"home":"[a-z0-9]*"' | cut -d'"' -f4; }
until_ok 15 'the gang to be placed' phase PLACED
home=$(at)
deck request --count 100 --parallel 6 'price %d' >"$dir/many.out" 2>"$dir/many.err" &
many=$!
deck request --count 100 --parallel 6 --once 'reconcile %d' >"$dir/once.out" 2>"$dir/once.err" &
once=$!
say "The gang runs in $home. Taking $home out of service while both run:"
deck domain out "$home" --why 'demo'
moved() { phase PLACED && [ "$(at)" != "$home" ]; }
until_ok 15 'the gang to move' moved
say "The gang was checkpointed and now runs in $(at). Bringing $home back:"
deck domain back "$home" --why 'demo'
wait "$many" || fail "requests: $(cat "$dir/many.out" "$dir/many.err")"
wait "$once" || fail "at-most-once requests: $(cat "$dir/once.out" "$dir/once.err")"
deck job wait cutplan --most 20s || fail 'the gang did not complete successfully'
say 'The decisions about the gang and their reasons:'
deck explain cutplan

answered=0
for f in many once; do
	answered=$((answered + $(grep -o 'answered=[0-9]*' "$dir/$f.out" | cut -d= -f2)))
done
[ "$answered" = 200 ] || fail "only $answered requests were answered"
say 'Stopping the daemons gracefully.'
for d in 1 2 3; do
	pid=pid_e$d
	kill -TERM "${!pid}"
done
for d in 1 2 3; do
	pid=pid_e$d
	wait "${!pid}" || fail "daemon e$d did not stop gracefully: exit status $?"
done
say "demo: ok requests=200 answered=$answered gangs=1 moved=1 domains=3 seconds=$SECONDS"
