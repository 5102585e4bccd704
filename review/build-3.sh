#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. Run it in the root of the repository after the build of the deploy
# file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig-3 ./review/rig-3
