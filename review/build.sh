#!/bin/bash
# Builds the stand-ins of the review's scripts. It needs no network once the module cache is filled by the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go build -trimpath -buildvcs=false -o target/review-stand ./review/stand
