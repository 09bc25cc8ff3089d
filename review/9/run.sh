#!/bin/bash
# A guarantee that is not given. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." && exec target/reviewrig2 guarantee review/9
