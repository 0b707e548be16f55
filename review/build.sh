#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They use nothing but the standard library. The system itself is built by the
# command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
