#!/bin/sh
# Builds the stand-ins of the third review, which REPORT-3.md names. Run it in the root of the repository after the build of the deploy
# file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig-3 ./review/rig-3
