#!/bin/sh
# Builds the stand-ins of the cases of the third review.
set -eu
cd "$(dirname "$0")/.."
go build -trimpath -o target/ ./review/stand3
