#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripted cases of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/stand2
