# Set-up on a machine that has Go: `make demo` runs the main job, `make test`
# the tests. Everything else is for developers.
MODULES := ./core/... ./daemon/... ./ctl/... ./platform/... ./cmd/...
FOLDERS := core daemon ctl platform cmd
BIN := bin

.PHONY: all build demo test race vet fmt lint

all: build

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ ./cmd/cardamomwickd ./cmd/cardamomctl

demo: build
	go build -o $(BIN)/demo ./ctl/internal/demo
	go build -o $(BIN)/platform-demo ./platform/internal/demo
	$(BIN)/demo $(BIN)
	$(BIN)/platform-demo $(BIN)

# Tests at the beginning of a line of KNOWN-RED.txt are passed over.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\) .*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')
PASS_OVER := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

# Some tests run the programs: a kept result holds only for the same ones.
PROGRAMS = CARDAMOMWICK_PROGRAMS="$$(cat $(BIN)/cardamomwickd $(BIN)/cardamomctl | sha256sum)"

# Tests that exhaust a process's memory and descriptors run one at a time, after all others.
CLIENTS := ./platform/internal/clients ./ctl/internal/clients
EXCEPT_CLIENTS = grep -v '/internal/clients$$'

test: build
	$(PROGRAMS) go test $(PASS_OVER) $$(go list $(MODULES) | $(EXCEPT_CLIENTS))
	$(PROGRAMS) go test -p 1 $(PASS_OVER) $(CLIENTS)

race: build
	$(PROGRAMS) go test -race $(PASS_OVER) $$(go list ./core/... ./daemon/... ./platform/... | $(EXCEPT_CLIENTS))

# The tests of misbehaving clients alone, each of them also if it is known to be red.
.PHONY: clients
clients: build
	$(PROGRAMS) go test -count=1 -p 1 -v $(CLIENTS)

vet:
	go vet $(MODULES)

fmt:
	@test -z "$$(gofmt -l $(FOLDERS))" || { echo "not gofmt clean:"; gofmt -l $(FOLDERS); exit 1; }

lint:
	cd ctl && go tool staticcheck ../core/... && go tool staticcheck ./... && go tool staticcheck ../daemon/... && go tool staticcheck ../platform/... && go tool staticcheck ../cmd/...

# What comes from outside, decoded: each target for FUZZTIME, by hand, since its
# verdict hangs on chance; CI runs the kept inputs. Inputs that ever
# failed are kept under testdata/ and run by `make test`.
.PHONY: fuzz
FUZZTIME := 2s
fuzz:
	go test -run '^$$' -fuzz '^FuzzHeartbeat$$' -fuzztime $(FUZZTIME) ./platform
	go test -run '^$$' -fuzz '^FuzzDeparture$$' -fuzztime $(FUZZTIME) ./platform
	go test -run '^$$' -fuzz '^FuzzConfiguration$$' -fuzztime $(FUZZTIME) ./platform
	go test -run '^$$' -fuzz '^FuzzCallHeaders$$' -fuzztime $(FUZZTIME) ./platform
	go test -run '^$$' -fuzz '^FuzzAnswerHeaders$$' -fuzztime $(FUZZTIME) ./platform
	go test -run '^$$' -fuzz '^FuzzCheckHead$$' -fuzztime $(FUZZTIME) ./core/httpresponse
	go test -run '^$$' -fuzz '^FuzzReport$$' -fuzztime $(FUZZTIME) ./core/balance
	go test -run '^$$' -fuzz '^FuzzTake$$' -fuzztime $(FUZZTIME) ./core/counts
	go test -run '^$$' -fuzz '^FuzzCommand$$' -fuzztime $(FUZZTIME) ./core/state
	go test -run '^$$' -fuzz '^FuzzDecode$$' -fuzztime $(FUZZTIME) ./core/wire
	go test -run '^$$' -fuzz '^FuzzMessage$$' -fuzztime $(FUZZTIME) ./core/membership
	go test -run '^$$' -fuzz '^FuzzConnection$$' -fuzztime $(FUZZTIME) ./daemon/frame

# Real processes with faults from outside; SOAK sets seeds and size, see
# bin/soak -h. The default is the short run of CI; fresh seeds are for developers.
.PHONY: soak
SOAK := -seed 1 -seeds 2 -rounds 1
soak: build
	go build -o $(BIN)/soak ./platform/internal/soak
	$(BIN)/soak -bin $(BIN) $(SOAK)

# Proofs with real processes, under failure; P=name runs one. They hang on
# timing and are no part of CI.
.PHONY: prove
prove: build
	cd ctl && go test -tags prove -count=1 -timeout 20m -v -run '$(P)' ./prove

# Experiments: each profile against the baselines, then with faults. Reports,
# JSON lines and plots come into out/. About 25 minutes.
.PHONY: bench benchtool
benchtool: build
	go build -o $(BIN)/bench ./ctl/internal/bench

FAULTS := straggler engine-killed late-reports dispatcher-killed entry-killed
bench: benchtool
	$(BIN)/bench -profile samples/nurlight-load.toml
	$(BIN)/bench -profile samples/kaitiaki-load.toml
	for f in $(FAULTS); do $(BIN)/bench -profile samples/nurlight-load.toml -phases quiet,dusk -policies round_robin,dispatcher -fault $$f || exit 1; done

# What the path adds to a call, against calling the stand-in directly.
.PHONY: overhead
overhead: build
	go build -o $(BIN)/overhead ./ctl/internal/overhead
	$(BIN)/overhead $(BIN)

# Breaks one mechanism after another on a scratch copy; each proof must notice.
.PHONY: prove-red
prove-red: build
	ctl/prove/red.sh $(P)

# The slopes of docs/CAPACITY.md. Starts up to 120 instances; about 8 minutes.
.PHONY: capacity
capacity: build
	go build -o $(BIN)/capacity ./ctl/internal/capacity
	$(BIN)/capacity -bin $(BIN)

# The recovery of a large fleet from the loss of everything, in a minute on one
# machine: replicas with a quota of their processor, light entries and engines.
.PHONY: recovery
RECOVERY := -entries 290 -engines 3000 -quota 0.24 -settle 20s
recovery: build
	go build -o $(BIN)/recovery ./platform/internal/recovery
	$(BIN)/recovery -bin $(BIN) $(RECOVERY)
