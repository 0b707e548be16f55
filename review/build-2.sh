#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the roles. Run it after the build of the deploy file; it needs
# no network then.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
