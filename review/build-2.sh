#!/bin/bash
# Builds the stand-ins that the scripts of the second review start.
set -e
cd "$(dirname "$0")"
GOWORK=off go build -mod=readonly -buildvcs=false -o ../target/reviewrig2 ./rig2
