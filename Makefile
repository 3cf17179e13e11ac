GO ?= go
BIN := bin
SEED ?= 1
REQUESTS ?= 10000
TESTFLAGS ?=
# TEST_TIMEOUT bounds the tests of one package. Those of tests/node run one after the other, for minutes.
TEST_TIMEOUT ?= 45m
# WIRE_NAMES are names that only the adapter and the stand-ins may use.
WIRE_NAMES := 'rows-(tx|get|feed)|blob-(put|get)|Crocusreel-(Attempt-Id|Expect-Instance|Response-Seal|Token-Usage|Tenant|Not-Executed|Kv-Backup|Prompt-Prefix|Cache-Hold|Pin-Ms|Instance-Id)|Kv-(From|Fetch)|kv-(move|events|handle)|Store-Era|op/config|schema_version|Server-(Limit|Leaving|Brittle)'
GENERATED := '\.pb\.go$$|\.connect\.go$$'

# CONCURRENT are the packages that the race detector looks at.
CONCURRENT := caller client controller drain endpoint entry fleet gateway gossip knowledge ledger node peer platform policy quarantine \
  reach relay retry routing scheduler

.PHONY: build run test race lint generate

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# run starts the whole system on loopback, sends one request of each kind, prints
# the answers and counters, and stops everything.
run: build
	$(BIN)/crocusreel demo --bin $(BIN)

# test runs every test. Those that KNOWN-RED.txt lists are printed and do not decide.
test: build
	$(GO) run ./tools/knownred -count=1 -timeout=$(TEST_TIMEOUT) $(TESTFLAGS) ./...

race:
	$(GO) run ./tools/knownred -race -timeout=$(TEST_TIMEOUT) $(addprefix ./,$(addsuffix /...,$(CONCURRENT)))

lint:
	@out="$$($(GO) tool gofumpt -l $$(git ls-files '*.go' | grep -vE $(GENERATED)))"; \
	  if [ -n "$$out" ]; then echo "not formatted: $$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	@out="$$(git grep -lE $(WIRE_NAMES) -- '*.go' | grep -vE '^platform/|^internal/standin/|_test\.go$$')"; \
	  if [ -n "$$out" ]; then echo "names of the platform's wire outside platform/ and its stand-ins: $$out"; exit 1; fi

generate:
	buf generate

# capacity measures slopes of gateways, schedulers and controllers; its figures decide nothing.
.PHONY: capacity
capacity:
	$(GO) test -count=1 -tags capacity -v ./tests/capacity

# experiment compares scheduling policies and rewrites the generated parts of
# docs/EXPERIMENTS.md and its plots. PARALLEL is the number of runs at a time.
PARALLEL ?= 2
EXPERIMENT := $(BIN)/crocusreel experiment --bin $(BIN) --page docs/EXPERIMENTS.md --parallel $(PARALLEL)
.PHONY: experiment
experiment: build
	$(EXPERIMENT) --section high --load 0.95
	$(EXPERIMENT) --section loads --load 0.5 --load 0.8 --load 1.2 --load 2.0
	$(EXPERIMENT) --section faults --faults
	$(EXPERIMENT) --section overhead --overhead

# fault runs the fault tests in the order that SEED gives, and a short seeded run of
# random faults. soak runs REQUESTS requests under random faults.
.PHONY: fault soak
fault:
	$(GO) test -count=1 ./tests -ginkgo.seed=$(SEED) -ginkgo.randomize-all
	SEED=$(SEED) $(GO) test -count=1 -v ./tests/soak

# soak-nodes makes random runs of real nodes; SEEDS is FIRST:COUNT.
SEEDS ?= 1:50
.PHONY: soak-nodes
soak-nodes:
	SOAK_SEEDS=$(SEEDS) $(GO) test -count=1 -v -timeout 60m ./tests/node -ginkgo.focus "a random run"

soak:
	SEED=$(SEED) REQUESTS=$(REQUESTS) $(GO) test -count=1 -v -timeout 60m ./tests/soak
