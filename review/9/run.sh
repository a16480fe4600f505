#!/bin/sh
# Plays the case "hopeless-jobs"; TROUBLE=0 plays it without the disruption. Exits as review/rig-2/Cases.java says.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/rig-2/classes/Cases.class ] || { echo "run review/build-2.sh first"; exit 2; }
exec java -Dsun.net.httpserver.nodelay=true -cp review/rig-2/classes Cases hopeless-jobs review/9/record.txt
