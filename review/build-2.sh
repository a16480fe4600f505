#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10; needs only the JDK.
set -e
cd "$(dirname "$0")/rig-2"
rm -rf classes
mkdir classes
javac -encoding UTF-8 -d classes ./*.java
