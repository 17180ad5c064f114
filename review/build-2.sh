#!/usr/bin/env bash
# Builds the runner of the cases 4 to 8 with all stand-ins that it starts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/run ./review/_cases-2/run
