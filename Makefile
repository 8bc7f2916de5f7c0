# The versions of the tools are pinned here, to keep them out of go.mod.
GOFUMPT       = mvdan.cc/gofumpt@v0.12.0
GOLANGCI_LINT = github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
PROTOC_GEN_GO = google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
# Tests known to fail: exactly those that KNOWN-RED.txt lists.
KNOWN_RED     = ^(TestFinishedWhileSilent|TestSilentConnections|TestOutAndBack|TestManyStarts|TestSlowListings|TestEvidenceCost)$$
TOOLS         = $(CURDIR)/.tools
# Where the soaks keep the logs of each run, each under a name of its own.
LOGS          = $(CURDIR)/.logs

.PHONY: build
build:
	go build -o trefoildeck .

.PHONY: test
test:
	go test -skip '$(KNOWN_RED)' $$(go list ./... | grep -v /integration)
	go test -skip '$(KNOWN_RED)' -parallel 4 ./integration

.PHONY: check
check: $(TOOLS)/gofumpt lint
	go vet ./...
	@out="$$($(TOOLS)/gofumpt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$'))"; \
	if [ -n "$$out" ]; then echo "not gofumpt-clean: $$out"; exit 1; fi

.PHONY: lint
lint: $(TOOLS)/golangci-lint
	$(TOOLS)/golangci-lint run

.PHONY: format
format: $(TOOLS)/gofumpt
	$(TOOLS)/gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

# Requires protoc, from the package protobuf-compiler.
.PHONY: generate
generate: $(TOOLS)/protoc-gen-go
	PATH=$(TOOLS):$$PATH protoc --go_out=. --go_opt=module=trefoildeck io/peer/peerpb/peer.proto

$(TOOLS)/gofumpt:
	GOBIN=$(TOOLS) go install $(GOFUMPT)

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) go install $(GOLANGCI_LINT)

$(TOOLS)/protoc-gen-go:
	GOBIN=$(TOOLS) go install $(PROTOC_GEN_GO)

# Compares the scheduling policies with naive baselines on the same arrivals.
.PHONY: measure
measure:
	go test -count=1 -v -run 'TestMeasureRequests' ./core/routing
	go test -count=1 -v -run 'TestMeasureTasks' ./core/placement

.PHONY: bench
bench:
	go test -run xxx -bench Choose ./core/routing
	go test -run xxx -bench Placements -benchtime 200x ./core/placement
	go test -run xxx -bench . -benchtime 3000x ./internal/local

# Runs random fault schedules on real processes, for longer than CI does.
.PHONY: soak
soak:
	LOGS=$(LOGS) SEED=$(SEED) MINUTES=$(MINUTES) go test -count=1 -v -timeout 2h -run TestSoak ./integration

# Measures the resource usage of the processes, for docs/CAPACITY.md.
.PHONY: capacity
capacity:
	CAPACITY=1 go test -count=1 -v -timeout 10m -run TestCapacity ./integration

# Injects random faults into trefoildeck-node on the emulated platform, in one run per seed.
.PHONY: hosted-soak
hosted-soak:
	LOGS=$(LOGS) FIRST=$(FIRST) SEEDS=$(SEEDS) go test -count=1 -v -parallel 5 -timeout 1h -run TestHostedSoak ./integration

# Scores the users' deployments with their bench: BENCH is its path, DEPLOYMENTS the folder
# of the site files, and WHY the reason that its journal records.
SITES = sites/armor-balise.toml sites/sdv-sched.toml grown/armor-balise-grown.toml \
	grown/sdv-sched-grown.toml large/armor-balise-large.toml
.PHONY: scores
scores:
	@for s in $(SITES); do $(BENCH) score $(DEPLOYMENTS)/$$s --jobs 4 --why "$(WHY)" || exit 1; done

# Plays the days of one kind of trouble in deploy/days on a site of DEPLOYMENTS, and
# compares them with the day without trouble. SEED is the days' seed.
SITE = sites/armor-balise.toml
.PHONY: days
days:
	deploy/compare-days $(BENCH) $(DEPLOYMENTS)/$(SITE) $(SEED)

# Plays COUNT days drawn from the seeds from FIRST, each with several troubles close together,
# on SITE, to find broken rules.
.PHONY: drawn-days
drawn-days:
	deploy/hunt-drawn $(BENCH) $(DEPLOYMENTS)/$(SITE) $(FIRST) $(COUNT)
