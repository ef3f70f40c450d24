.PHONY: build test lint run fuzz measure try

# The same line as in deploy/balancer.toml; a test holds that they agree.
build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

lint:
	test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...
	go vet -tags debug ./...
	go tool staticcheck ./...
	go tool staticcheck -tags debug ./...

# Tests that KNOWN-RED.txt lists are passed over, exactly these, and printed.
RED := $(shell sed -n 's/^- \(Test[A-Za-z0-9]*\):.*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')
SKIP := $(if $(RED),-skip '^($(RED))$$')

test: lint build
	@test ! -s KNOWN-RED.txt || { echo "passed over:"; cat KNOWN-RED.txt; }
	go test -count=1 $(SKIP) ./...
	go test -count=1 -tags debug $(SKIP) ./...
	go test -count=1 -race $(SKIP) ./internal/eventloop ./cmd/railrelay

# Wants ROUTER_LISTEN and ROUTER_CONFIG, see the README.
run: build
	exec bin/railrelay

# A look beyond the seeds, by hand: make fuzz FUZZ=FuzzRead IN=./internal/msgpackrpc
FUZZ ?= FuzzRead
IN ?= ./internal/msgpackrpc
fuzz:
	go test -fuzz $(FUZZ) -fuzztime 30s $(IN)

# Six stand-in engines, a feed and a controller with teams; 20 s of queries, one
# team flooding; a table by team.
try: build
	bin/railrelay-bench try

# An issue's measurement, in under 50 s: make measure IN=fair SEED=1
SEED ?= 1
measure: build
	if [ "$(IN)" = together ]; then $(MAKE) -s bin/planted; fi
	bin/railrelay-bench measure $(IN) --seed $(SEED)

# Tests built with one planted fault each (testdata/planted, laid over by go test -overlay),
# which must be found and named, and without.
.PHONY: planted bin/planted
bin/planted:
	bin/railrelay-bench planted --build
planted: build bin/planted
	bin/railrelay-bench planted
