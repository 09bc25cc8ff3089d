#!/bin/bash
# Crashes of runners fail a sound job. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." && exec target/reviewrig2 crashes review/9
