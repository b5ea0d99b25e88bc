#!/usr/bin/env bash
# Builds the stand-ins of the cases; needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac --release 17 -d target/classes standins/review/*.java
