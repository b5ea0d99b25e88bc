#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER CLASS. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.
set -uo pipefail
folder="$(cd "$1" && pwd)"
cd "$(dirname "$0")/.."
rm -f "$folder/record.txt"
java -Xmx512m -cp review/target/classes "review.$2" "$folder"
status=$?
# A stand-in that fails ends with 1 too; the record then has no verdict.
if ! grep -q "VERDICT:" "$folder/record.txt" 2> /dev/null; then exit 2; fi
if [ "$status" != 0 ] && [ "$status" != 1 ]; then exit 2; fi
exit "$status"
