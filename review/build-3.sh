#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/lib-3/target
mkdir -p review/lib-3/target/classes
javac -nowarn -encoding UTF-8 -cp target/monsoonvalve-gateway.jar -d review/lib-3/target/classes review/lib-3/src/*.java
