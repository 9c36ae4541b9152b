#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/stand-ins/main.rs
