#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, with 0 if
# it held and with 2 if the case could not run.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
if [ ! -x target/review/case ] || [ ! -x target/release/wingshore-platform ]; then
    echo "the case cannot run: build the deploy file's build and review/build.sh first" >&2
    exit 2
fi
PROCESSES="$(mktemp)"
export PROCESSES
finish() {
    while read -r process; do
        if grep -qs wingshore-platform "/proc/$process/cmdline"; then
            kill -KILL "$process"
        fi
    done < "$PROCESSES"
    rm -f "$PROCESSES"
}
trap finish EXIT
timeout 110 target/review/case stream "$folder/record.txt"
code=$?
if [ $code -gt 2 ]; then
    code=2
fi
exit $code
