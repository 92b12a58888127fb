#!/usr/bin/env bash
# Runs the case; needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves out the copies.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -cp target/review-2:target/monsoonvalve-gateway.jar org.monsoonvalve.review2.SecondAnswerCase
