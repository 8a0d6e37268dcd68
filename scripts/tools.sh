#!/bin/bash
# Installs the tools that the checks need and that are missing. Usage: tools.sh GOLANGCI_VERSION PROTOC_GEN_GO_VERSION
set -euo pipefail
bin="$(go env GOPATH)/bin"
if ! "$bin/golangci-lint" version 2>/dev/null | grep -qF "${1#v}"; then
  go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$1"
fi
if ! "$bin/protoc-gen-go" --version 2>/dev/null | grep -qF "${2#v}"; then
  go install "google.golang.org/protobuf/cmd/protoc-gen-go@$2"
fi
missing=()
command -v protoc >/dev/null || missing+=(protobuf-compiler)
command -v spin >/dev/null || missing+=(spin)
command -v gcc >/dev/null || missing+=(gcc)
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
