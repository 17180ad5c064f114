#!/usr/bin/env bash
# Builds what the cases start beside the controllers: one program with the stand-ins and the checks of all cases.
# It needs the build of the deploy file, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/cases ./review/_cases
