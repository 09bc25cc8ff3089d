#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of the cases start, into target/.
set -eu
cd "$(dirname "$0")"
GOWORK=off go build -mod=readonly -buildvcs=false -o ../target/reviewrig ./rig
