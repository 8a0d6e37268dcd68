#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 of the second independent review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/stand2 ./review/stand2
