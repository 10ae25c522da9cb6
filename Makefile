# The usual steps; .ci/run is what every change must pass.
CONFIG ?= config.json
EXPERIMENT ?= lab/experiments/jam.toml
OUT ?= found

.PHONY: build test lint run lab bench

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
	cargo run --release --locked -p ternstack-lab -- run $(EXPERIMENT) --out $(OUT)

bench:
	cargo bench --locked -p ternstack-lab
