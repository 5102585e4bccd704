#!/bin/sh
# Builds the stand-ins of the scripts into target/review. The build of the deploy file goes before it.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[1-5]; do
	if [ -f "$folder/main.go" ]; then
		go build -o "target/review/$(basename "$folder")" "./$folder"
	fi
done
