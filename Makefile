# Development targets.

FUZZTIME ?= 10s
CONFIG ?= $(PROXY_CONFIG)
CHECKS ?= 100

.PHONY: all build test random race lint fuzz run why-run trouble trouble-long rehearse lab clean

all: lint build test

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test ./...
	go test -tags debug ./...

# random runs the property-based tests with CHECKS cases each and a random seed. CI uses a fixed seed.
random:
	RAPID_SEED=0 go test -count=1 ./balancer ./internal/faultproxy ./internal/hotrestart ./internal/simulation ./internal/connpool ./internal/decisionlog ./internal/frontend/amqp -rapid.checks=$(CHECKS)

race:
	go test -race ./...

lint:
	.ci/lint

fuzz:
	go test -run '^$$' -fuzz '^FuzzConnLimiter$$' -fuzztime $(FUZZTIME) ./internal/listener
	go test -run '^$$' -fuzz '^FuzzRequests$$' -fuzztime $(FUZZTIME) ./internal/proxy
	go test -run '^$$' -fuzz '^FuzzMigrationComesBetweenLines$$' -fuzztime $(FUZZTIME) ./internal/frontend/line
	go test -run '^$$' -fuzz '^FuzzOpening$$' -fuzztime $(FUZZTIME) ./internal/frontend/line
	go test -run '^$$' -fuzz '^FuzzSplitter$$' -fuzztime $(FUZZTIME) ./internal/frontend/line
	go test -run '^$$' -fuzz '^FuzzReader$$' -fuzztime $(FUZZTIME) ./internal/frontend/line
	go test -run '^$$' -fuzz '^FuzzChunks$$' -fuzztime $(FUZZTIME) ./internal/discovery
	go test -run '^$$' -fuzz '^FuzzFrame$$' -fuzztime $(FUZZTIME) ./internal/frontend/amqp/framing
	go test -run '^$$' -fuzz '^FuzzClient$$' -fuzztime $(FUZZTIME) ./internal/frontend/amqp
	go test -run '^$$' -fuzz '^FuzzParse$$' -fuzztime $(FUZZTIME) ./internal/sexp

# why-run is the long form of the demonstration's test: after five minutes it compares 500 answers of
# `lockroad why` with what clients, servers and a telemetry collector observed.
why-run: build
	bin/lockroad demo --for 5m --rate 10 --asks 500 --seed 1

# trouble runs the fault tests with scripted faults. trouble-long runs CHECKS random fault scripts of some 3 s
# each and stores the smallest script that violates an invariant in internal/faulttest/testdata.
trouble:
	go test -count=1 -parallel 16 ./internal/faulttest

trouble-long:
	LOCKROAD_TROUBLE=1 go test ./internal/faulttest -count=1 -timeout 60m -run TestRandomScripts -rapid.checks=$(CHECKS) -rapid.nofailfile

# rehearse injects the most common faults into two builds of the program and compares how long clients
# wait: make rehearse BEFORE=/path/to/an/older/lockroad
BEFORE ?= $(CURDIR)/bin/lockroad
rehearse: build
	LOCKROAD_REHEARSE="before=$(BEFORE) after=$(CURDIR)/bin/lockroad" go test -count=1 -run Rehearse -v ./cmd/lockroad

# lab compares the balancer with standard load-balancing policies in the simulation.
lab: build
	mkdir -p found && bin/simulate run experiments/baselines.lisp -o found/baselines.csv

# make run CONFIG=config.json starts one relay.
run: build
	PROXY_CONFIG=$(CONFIG) bin/lockroad

clean:
	rm -rf bin found
