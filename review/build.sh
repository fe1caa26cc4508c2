#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The gateway is built by the
# command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
