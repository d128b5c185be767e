#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, without any library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
"${RUSTC:-rustc}" --edition 2024 -O -o target/review-3/cases review/standins-3/main.rs
