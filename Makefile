# The usual steps; .ci/run is what every change must pass.
CONFIG ?= config.json

.PHONY: build test lint run

build:
	cargo build --release --workspace --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	LB_CONFIG=$(CONFIG) target/release/ternstack-gateway
