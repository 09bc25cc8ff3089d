#!/bin/bash
# A task that runs for long, without an estimate, never gets to its end. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." && exec target/reviewrig2 long review/10
