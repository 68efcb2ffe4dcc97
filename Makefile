# Targets for those who keep the program.

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

# random tries CHECKS random runs of steps that no earlier run tried. CI's are the same every time.
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

# why-run is the long form of the demonstration's test: 500 answers after five minutes
# are held against what clients, servers and a collector saw.
why-run: build
	bin/lockroad demo --for 5m --rate 10 --asks 500 --seed 1

# trouble plays every known failure; trouble-long plays random scripts for CHECKS scenes
# of some 3 s, and keeps the least that breaks a rule in internal/faulttest/testdata.
trouble:
	go test -count=1 -parallel 16 ./internal/faulttest

trouble-long:
	LOCKROAD_TROUBLE=1 go test ./internal/faulttest -count=1 -timeout 60m -run TestRandomScripts -rapid.checks=$(CHECKS) -rapid.nofailfile

# rehearse plays the commonest troubles against builds of the program, and tells how long
# clients wait: make rehearse BEFORE=/path/to/an/older/lockroad
BEFORE ?= $(CURDIR)/bin/lockroad
rehearse: build
	LOCKROAD_REHEARSE="before=$(BEFORE) after=$(CURDIR)/bin/lockroad" go test -count=1 -run Rehearse -v ./cmd/lockroad

# lab compares the module with the textbooks' policies on the model of the farm.
lab: build
	mkdir -p found && bin/simulate run experiments/baselines.lisp -o found/baselines.csv

# make run CONFIG=config.json starts one relay.
run: build
	PROXY_CONFIG=$(CONFIG) bin/lockroad

clean:
	rm -rf bin found
