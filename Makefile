GOLANGCI_VERSION := v2.15.0
PROTOC_GEN_GO_VERSION := v1.36.12
GOBIN := $(shell go env GOPATH)/bin

.PHONY: build test tools generate lint unit race spec docs

build:
	go build ./...

test: build generate lint unit race spec docs

tools:
	./scripts/tools.sh $(GOLANGCI_VERSION) $(PROTOC_GEN_GO_VERSION)

generate: tools
	./scripts/generate.sh

lint: tools
	go vet ./...
	$(GOBIN)/golangci-lint run ./...
	$(GOBIN)/golangci-lint fmt --diff

unit:
	./scripts/unit.sh

race:
	./scripts/unit.sh -race -short

spec: tools
	./scripts/spec.sh

docs:
	./scripts/docs.sh
