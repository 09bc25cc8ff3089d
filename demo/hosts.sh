#!/usr/bin/env bash
# Prints a host list with three failure domains, d1 to d3. Each has one entry
# host, four workers in two racks, and two runners. They listen on 127.0.0.1, on
# consecutive ports from $1 on.
set -euo pipefail
port=$1
sep=''
host() { # id domain role rack extra
	printf '%s\n  {"id":"%s","addr":"127.0.0.1:%d","domain":"%s","role":"%s","rack":%d%s}' \
		"$sep" "$1" "$port" "$2" "$3" "$4" "$5"
	sep=','
	port=$((port + 1))
}
printf '{"hosts":['
for d in 1 2 3; do
	host "e$d" "d$d" ENTRY 0 ''
done
for d in 1 2 3; do
	for w in 1 2 3 4; do
		host "w$d$w" "d$d" WORKER $(((w + 1) / 2)) ',"total":{"cores":16000,"mem":65536,"accels":4}'
	done
	for r in 1 2; do
		host "r$d$r" "d$d" RUNNER 3 ',"slots":8,"conns":60'
	done
done
printf '\n]}\n'
