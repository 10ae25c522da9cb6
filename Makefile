# The usual steps; .ci/run is what every change must pass.
CONFIG ?= config.json
EXPERIMENT ?= fleet-simulator/experiments/jam.toml
OUT ?= found

.PHONY: build test lint run lab bench sites

build:
	cargo build --release --workspace --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	LB_CONFIG=$(CONFIG) target/release/ternstack-gateway

lab:
	cargo run --release --locked -p ternstack-fleet-simulator -- run $(EXPERIMENT) --out $(OUT)

bench:
	cargo bench --locked -p ternstack-fleet-simulator

# Lays links to the bench's own files beside the variants; they are not the project's, and git does not keep them.
# BENCH_SITES is the bench's folder that holds them: make sites BENCH_SITES=path/to/sites
sites:
	test -f "$(BENCH_SITES)/wire.json"
	for file in real.json wire.json unlock.txt; do ln -sfn "$(abspath $(BENCH_SITES))/$$file" deploy/sites/$$file; done
