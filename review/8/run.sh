#!/bin/sh
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/mothvale ] && [ -x target/review-2/rig ] || {
    echo "run the build of deploy/system.toml and review/build-2.sh first"
    exit 2
}
exec target/review-2/rig keys review/8
