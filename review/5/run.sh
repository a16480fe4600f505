#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -f review/target/rig/Run.class ] || { echo "run review/build.sh first" >&2; exit 2; }
exec java -Xmx2g -cp review/target/rig Run large "$folder"
