#!/usr/bin/env bash
# Plays a case: play.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
lib="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$lib/../.." && pwd)"
folder="$1"
class="$2"
work="$(mktemp -d)" || exit 2
trap 'rm -rf "$work"' EXIT
command="$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/system.toml" | head -n 1)"
if [ -z "$command" ] || [ ! -f "$root/target/monsoonvalve-gateway.jar" ] || [ ! -d "$lib/target/classes" ]; then
	echo "not built" >&2
	exit 2
fi
timeout 115 java -Xmx256m -Dlib="$lib" -Droot="$root" -Dwork="$work" -Drecord="$folder/record.txt" \
	"-Dgateway.command=$command" -cp "$lib/target/classes:$root/target/monsoonvalve-gateway.jar" "$class"
code=$?
if [ "$code" -gt 2 ]; then
	code=2
fi
exit "$code"
