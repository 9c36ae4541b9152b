#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They use the standard library only, so that no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/stand-ins-2/main.rs
