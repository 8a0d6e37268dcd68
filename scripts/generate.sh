#!/bin/bash
# Generates the protobuf code into a temporary directory and fails if it differs from the committed code. With --write it
# updates the committed code instead.
set -euo pipefail
cd "$(dirname "$0")/.."
out="$(mktemp -d)"
trap 'rm -rf "$out"' EXIT
PATH="$(go env GOPATH)/bin:$PATH" protoc --go_out="$out" --go_opt=paths=source_relative -I internal/wire/peerpb internal/wire/peerpb/peer.proto
# The version of protoc in the header depends on the installed package, so its line is removed.
sed -i '/^\/\/ \tprotoc  *v/d' "$out/peer.pb.go"
if [ "${1:-}" = --write ]; then
  cp "$out/peer.pb.go" internal/wire/peerpb/peer.pb.go
  exit 0
fi
diff -u internal/wire/peerpb/peer.pb.go "$out/peer.pb.go" || {
  echo "generated code differs from peer.proto: run scripts/generate.sh --write" >&2
  exit 1
}
