#!/usr/bin/env bash
# Runs the case; with TROUBLE=0 the store keeps its history while the zone is taken back.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
exec target/reviewrig evacuation "$here/record.txt" target/deckd site --metrics 9464
