#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
shopt -s nullglob
javac -nowarn -d target/review-2 -cp target/monsoonvalve-gateway.jar review/lib-2/*.java review/{6,7,8,9,10}/*.java
