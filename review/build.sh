#!/usr/bin/env bash
# Builds the stand-ins and callers of all scripts into target/review-rig.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go test -buildvcs=false -c -tags review -o target/review-rig ./review/rig
