#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. The build of deploy/system.toml comes before.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
