MODULES := fleet platform standin deckd deck
PACKAGES := $(MODULES:%=./%/...)
BIN := $(CURDIR)/bin
PREFIX ?= /usr/local
GOFUMPT := mvdan.cc/gofumpt@v0.12.0
REVIVE := github.com/mgechev/revive@v1.10.0
GOPLS := golang.org/x/tools/gopls@v0.23.0
HAND = $(shell git ls-files '*.go' | grep -v -e '\.pb\.go$$' -e '\.twirp\.go$$')

.PHONY: all build test race lint vet fmt gen bench slopes fuzz demo install clean

all: build

build:
	go build -o $(BIN)/ ./deckd ./deck ./standin

# Runs every test, even if its result is cached: some tests build and run the
# programs, which the test cache does not track. Needs only Go and the module proxy.
test: build
	go test -count=1 $(PACKAGES)

race:
	go test -count=1 -race $(PACKAGES)

lint: vet $(BIN)/gofumpt $(BIN)/revive
	@out=$$($(BIN)/gofumpt -l $(HAND)); if [ -n "$$out" ]; then echo "gofumpt would change:"; echo "$$out"; exit 1; fi
	@for m in $(MODULES); do (cd $$m && $(BIN)/revive -set_exit_status ./...) || exit 1; done

vet:
	go vet $(PACKAGES)

fmt: $(BIN)/gofumpt
	$(BIN)/gofumpt -w $(HAND)

$(BIN)/gofumpt:
	GOBIN=$(BIN) go install $(GOFUMPT)

$(BIN)/revive:
	GOBIN=$(BIN) go install $(REVIVE)

# Used to rename identifiers together with all their uses.
$(BIN)/gopls:
	GOBIN=$(BIN) go install $(GOPLS)

# Generates the Go code in fleet/wire; needs protoc, protoc-gen-go and protoc-gen-twirp.
gen:
	fleet/gen.sh

demo: build
	demo/run.sh

install: build
	install -d $(PREFIX)/bin
	install $(BIN)/deckd $(BIN)/deck $(PREFIX)/bin

clean:
	rm -rf $(BIN)

# Benchmarks placement and routing against a naive baseline, at every size.
bench:
	go test ./fleet/bench -count=1 -v -full -timeout 60m | grep '^bench:'

# Measures how costs grow with the size of the fleet, for docs/CAPACITY.md.
slopes:
	go test ./fleet/bench -run 'Slopes|Budgets' -count=1 -v -slopes | grep '^slope:'
	go test ./fleet/sched -run Slopes -count=1 -v -slopes | grep -o 'slope:.*'
	go test ./fleet/member -run Budget -count=1 -v | grep -o 'slope:.*'

# Runs the property tests of state, topics, placement, seats and tickets with many more inputs.
fuzz:
	go test ./fleet/state ./fleet/mirror ./fleet/place ./fleet/seat ./fleet/ticket -rapid.checks=20000 -timeout 30m
