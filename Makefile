# make help lists the targets.

GO ?= go
VERSION ?= $(shell git describe --tags --always --dirty 2>/dev/null || echo unknown)
# All modules of the workspace that have packages of their own.
PACKAGES := ./... ./lab/...
# Tests over real processes, which run alone and whose results are never kept: the go
# command does not see all that the processes are built of.
E2E := ./lab/e2e ./lab/prepared/e2e
# Packages whose goroutines meet; make race RACE=./peer/... takes others.
RACE ?= ./configuration/... ./daemon/... ./heartbeat/... ./node/... ./oplog/... ./owner/... ./relay/... ./dispatch/... ./frontend/... ./peer/... ./quota/... \
	./ring/... ./sendonce/... ./submission/... ./targetclient/... ./telemetry/...
# Extra flags of go test, such as -run or -skip.
TESTFLAGS ?=

.PHONY: help build test race vet lint fmt fmt-check generate generate-check demo demo-own soak mutants ci clean

help: ## list the targets
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/'

build: ## build bin/burdockward, bin/burdockctl and bin/lab
	$(GO) build -buildvcs=false -ldflags '-X main.version=$(VERSION)' -o bin/ ./cmd/... ./lab/cmd/...

test: ## run the tests of all modules
	$(GO) test $(TESTFLAGS) $$($(GO) list $(PACKAGES) | grep -v '/e2e$$')
	$(GO) test -count=1 -p 1 $(TESTFLAGS) $(E2E)

race: ## run the tests of concurrent packages under the race detector
	$(GO) test -race $(TESTFLAGS) $(RACE)

vet: ## run go vet
	$(GO) vet $(PACKAGES)

lint: bin/staticcheck ## run staticcheck
	bin/staticcheck $(PACKAGES)

bin/staticcheck: tools/go.mod
	$(GO) build -C tools -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck

fmt: ## format the code
	gofmt -w .

fmt-check: ## fail when a file is not formatted
	@files="$$(gofmt -l .)"; test -z "$$files" || { echo "not formatted, run make fmt:"; echo "$$files"; exit 1; }

generate: ## write the code that is generated from the .proto files
	scripts/generate.sh write

generate-check: ## compare the generated code with the .proto files
	scripts/generate.sh check

demo: build ## start a small deployment of the prepared machines here and put it to work
	bin/lab prepared

demo-own: build ## the same for burdockward's own interfaces
	bin/lab demo

soak: build ## play random faults on the stand-in for two minutes
	bin/lab soak

mutants: ## break the code line by line and see that tests notice
	scripts/mutants.sh

ci: ## what CI runs
	.ci/run

clean: ## remove what the targets have built
	rm -rf bin out
