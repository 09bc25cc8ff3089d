#!/bin/bash
# A task that lasts is not restarted for half a minute. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." && exec target/reviewrig2 lasting review/10
