#!/usr/bin/env bash
# Runs a case: run-case.sh RECORD CLASS. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.
set -uo pipefail
record="$(cd "$(dirname "$1")" && pwd)/$(basename "$1")"
cd "$(dirname "$0")/.."
rm -f "$record"
# The program ends its daemons when it is terminated; so does this script when it is.
timeout -k 3 115 java -Xmx512m -cp review/target/classes "review.$2" "$record" &
child=$!
trap 'kill "$child" 2> /dev/null; wait "$child"; exit 2' TERM INT HUP
wait "$child"
status=$?
# A stand-in that fails ends with 1 too; the record then has no verdict.
if ! grep -q "VERDICT:" "$record" 2> /dev/null; then exit 2; fi
if [ "$status" != 0 ] && [ "$status" != 1 ]; then exit 2; fi
exit "$status"
