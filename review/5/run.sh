#!/bin/sh
# Runs the case once; needs the build of the deploy file and review/build-2.sh. Exit status: 0 if the rule held, 1 if it
# was broken, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
dir=$(mktemp -d) || exit 2
# Ends the instances, if the stand-in ended before it could.
clean() {
    for pid in $(cat "$dir/pids" "$dir"/*/pids 2>/dev/null); do
        if grep -qa gateway "/proc/$pid/cmdline" 2>/dev/null; then kill -9 "$pid" 2>/dev/null; fi
    done
    rm -rf "$dir"
}
trap clean EXIT
trap 'exit 2' INT TERM
timeout 115 target/review-2/standin-2 taken-up target/release/cartvane "$here/record.txt" "$dir"
status=$?
[ $status -le 1 ] || status=2
exit $status
