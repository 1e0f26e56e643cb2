BIN := $(CURDIR)/bin
TOOLS := $(BIN)/tools
PROTOS := $(sort $(shell find proto -name '*.proto'))
PACKAGES := ./...
# KNOWN_RED is a go test pattern that matches the tests listed in KNOWN-RED.txt.
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | sed 's/[^\/]*/^&$$/g' | paste -sd'|')

# CROWD is the test that measures the memory of a process. It runs apart from the others.
CROWD := ^TestCrowd$$

.PHONY: build test fmt fmt-check lint generate generate-check model demo demo-kill capacity ci

build:
	go build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/dandelioncart-demo

demo-kill: build
	$(BIN)/dandelioncart-demo --kill

test:
	go test -timeout 180s -skip '$(CROWD)$(if $(KNOWN_RED),|$(KNOWN_RED))' $(PACKAGES)
	go test -timeout 180s -run '$(CROWD)' $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./platform
	@[ ! -f KNOWN-RED.txt ] || cat KNOWN-RED.txt

fmt:
	gofmt -w cmd internal pkg platform

fmt-check:
	@out=$$(gofmt -l cmd internal pkg platform); if [ -n "$$out" ]; then echo "run make fmt; not formatted:"; echo "$$out"; exit 1; fi

$(TOOLS)/staticcheck $(TOOLS)/protoc-gen-go $(TOOLS)/protoc-gen-connect-go: tools/go.mod
	cd tools && go build -o $(TOOLS)/ honnef.co/go/tools/cmd/staticcheck google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go

lint: $(TOOLS)/staticcheck
	go vet $(PACKAGES)
	$(TOOLS)/staticcheck $$(go list $(PACKAGES) | grep -v /internal/gen/)

generate: $(TOOLS)/protoc-gen-go $(TOOLS)/protoc-gen-connect-go
	rm -rf internal/gen && mkdir -p internal/gen
	PATH=$(TOOLS):$$PATH protoc -I proto --go_out=internal/gen --go_opt=paths=source_relative --connect-go_out=internal/gen --connect-go_opt=paths=source_relative $(PROTOS)

generate-check: generate
	@git diff --exit-code --stat -- internal/gen || { echo "run make generate and commit the result"; exit 1; }

model:
	spec/check.sh

ci: test fmt-check lint generate-check model

capacity: build
	$(BIN)/dandelioncart-bench capacity
