#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into target/review. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp target/monsoonvalve-gateway.jar review/lib/*.java review/[0-9]/*.java
