#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review2 -o target/review-2 ./review/standins-2
