# The commands a developer needs; .ci/run calls `make test`.
GO ?= go
SKIP := $(shell sed -n 's/^- *\(Test[A-Za-z0-9_\/]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)

.PHONY: dev test tools format lint build unit exhaustion generate spec measure torture soak rename-tool

dev: build
	bin/guavahitch dev

build:
	$(GO) build -o bin/guavahitch ./cmd/guavahitch

test: tools format lint build unit exhaustion spec

# Installs what the models need where it is missing.
tools:
	@if command -v spin >/dev/null && command -v gcc >/dev/null; then exit 0; fi; \
	echo "installing spin and gcc, which the models under spec/ need"; \
	if ! command -v apt-get >/dev/null; then echo "make test: there is no apt-get; install spin and gcc"; exit 1; fi; \
	apt-get update -qq && apt-get install -y -qq spin gcc libc6-dev >/dev/null || \
		{ echo "make test: can't install spin and gcc; install them as root: apt-get install spin gcc libc6-dev"; exit 1; }

format:
	@unformatted=$$($(GO) tool gofumpt -l .); if [ -n "$$unformatted" ]; then echo "gofumpt: $$unformatted"; exit 1; fi

lint:
	$(GO) vet ./...
	$(GO) tool revive -set_exit_status ./...

unit:
	@if [ -n "$(SKIP)" ]; then echo "known red, passed over:"; cat KNOWN-RED.txt; fi
	$(GO) test -skip '^($(if $(SKIP),$(SKIP)|,)TestExhaustion.*)$$' ./...

# Runs the tests in which many clients act on one process, one at a time and apart from the other tests.
exhaustion:
	$(GO) test -count=1 -timeout 20m -run '^TestExhaustion' $(if $(SKIP),-skip '^($(SKIP))$$',) ./soak

spec:
	@if [ -x spec/run ]; then spec/run; fi

generate:
	protoc --proto_path=wire --plugin=protoc-gen-go=$$($(GO) tool -n protoc-gen-go) \
		--plugin=protoc-gen-twirp=$$($(GO) tool -n protoc-gen-twirp) \
		--go_out=wire --go_opt=paths=source_relative \
		--twirp_out=wire --twirp_opt=paths=source_relative wire/*.proto

# Runs every benchmark once, one package after the other, and writes the tables and plots under docs/.
measure: build
	mkdir -p docs/plots
	GUAVAHITCH_PLOTS=$(CURDIR)/docs/plots $(GO) test -p 1 -run xxx -bench . -benchtime 1x -timeout 60m ./... > bin/measure.out || \
		{ grep -v '^ok\|no test files' bin/measure.out | tail -40; exit 1; }
	bin/guavahitch measure --page docs/MEASUREMENTS.md < bin/measure.out

torture:
	GUAVAHITCH_SEEDS=200 $(GO) test -timeout 30m -run 'Torture|History|UnderFaults' ./...

# Runs the real processes under faults drawn from fresh seeds.
soak:
	GUAVAHITCH_SOAK_SEEDS=50 $(GO) test -timeout 60m -skip "^TestExhaustion" ./soak

# Installs the renaming tool: bin/gopls rename -w FILE:LINE:COL NAME follows every use.
rename-tool:
	GOBIN=$(CURDIR)/bin $(GO) install golang.org/x/tools/gopls@v0.23.0
