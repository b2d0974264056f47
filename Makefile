# Commands for people and for CI. `make help` lists them.

GOLANGCI_VERSION := v2.15.0
GOPLS_VERSION := v0.23.0
MODULES := core entry admin stand platform model
APIS := caller fault member object oper tables target worker
TOOLS := $(CURDIR)/.tools
LINTER := $(TOOLS)/golangci-lint-$(GOLANGCI_VERSION)
GOPLS := $(TOOLS)/gopls-$(GOPLS_VERSION)
PACKAGES := $(foreach m,$(MODULES),./$(m)/...)
# Process tests start real daemons; the time limit covers a slow machine.
TEST_TIMEOUT := 20m

.PHONY: model slopes bench-requests help build demo test test-short lint format generate generate-check ratio tools rename-tool fuzz bench-jobs

help: ## List the commands.
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/' | expand -t 20

build: ## Build the programs into bin/, and the platform's into target/.
	@mkdir -p bin
	go build -o bin/tanager-entry ./entry
	go build -o bin/tanager ./admin
	go build -o bin/tanager-stand ./stand
	go build -o bin/tanager-model ./model
	go build -ldflags=-linkmode=external -o target/tanager-platform ./platform

model: build ## Play the loads of both services against the scheduler in simulated time, beside a naive baseline.
	bin/tanager-model run model/scenes/*.yaml --seeds 2 --load 1,2.5 --policy product,naive
	bin/tanager-model run model/scenes/counter.yaml model/scenes/campsite.yaml --seeds 2 --load 1.6 --policy product --refuse none,too-late,excess --detail

demo: build ## Run the whole product on loopback under load, with a kill on the way.
	@scripts/demo

# The tests of stand/proof and the crowd test of platform start the programs as
# processes. They run by themselves, so that others do not take their processor time,
# and are never taken from the test cache, which knows nothing of the programs that
# they build.
CROWD_TEST := ^TestPlatformWithstandsCrowd$$
test: ## Run all tests with the race detector.
	@status=0; \
	go test -race -timeout $(TEST_TIMEOUT) -skip '$(CROWD_TEST)' $$(go list $(PACKAGES) | grep -v /stand/proof) || status=1; \
	go test -race -count=1 -timeout $(TEST_TIMEOUT) ./stand/proof/... || status=1; \
	go test -race -count=1 -timeout $(TEST_TIMEOUT) -run '$(CROWD_TEST)' ./platform || status=1; \
	exit $$status

test-short: ## Run the tests that start no processes.
	go test -short $(PACKAGES)

$(LINTER):
	@mkdir -p $(TOOLS)
	cd /tmp && GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(TOOLS)/golangci-lint $(LINTER)

$(GOPLS):
	@mkdir -p $(TOOLS)
	cd /tmp && GOBIN=$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv $(TOOLS)/gopls $(GOPLS)

tools: $(LINTER) ## Install the linter at its pinned version.

rename-tool: $(GOPLS) ## Install gopls at its pinned version; `gopls rename -w FILE:LINE:COLUMN NAME` renames with every use.

bench-jobs: ## Measure placement, takeover and control cost; non-zero past a bound.
	go test -tags bench -count=1 -timeout 5m -run TestBenchJobs -v ./entry/sched

lint: $(LINTER) ## Run the linter.
	$(LINTER) run $(PACKAGES)

format: $(LINTER) ## Format the code.
	$(LINTER) fmt $(MODULES)

format-check: $(LINTER)
	$(LINTER) fmt --diff $(MODULES)

generate: ## Generate the API packages from their OpenAPI documents.
	cd core && for api in $(APIS); do \
	  go tool ogen -config api/ogen.yml -loglevel error -target api/$$api -package $$api -clean api/$$api.yaml || exit 1; done

# Without a time format of its own, ogen cuts an instant down to whole seconds.
generate-check: generate ## Check that the generated code matches its documents.
	@for api in $(APIS); do \
	  test "$$(grep -c 'format: date-time' core/api/$$api.yaml)" = "$$(grep -c 'x-ogen-time-format:' core/api/$$api.yaml)" || \
	  { echo "core/api/$$api.yaml: a date-time has no x-ogen-time-format" >&2; exit 1; }; done
	git diff --exit-code --stat -- core/api

bench-requests: build ## Measure the way of a request; fails past a bound.
	go test -tags bench -count=1 -p 1 -timeout 5m -run Measure -v ./core/route ./entry/front
	@scripts/bench-requests

slopes: ## Measure how each role's use of a machine grows with its size; about ten minutes. docs/CAPACITY.md rests on it.
	scripts/slopes
	go test ./core/policy ./core/burn ./core/trace -count=1 -run '^$$' -bench Slope -benchtime 0.5s

ratio: ## Count hand-written code and its tests.
	@scripts/ratio
