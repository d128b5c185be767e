#!/usr/bin/env bash
# Builds the stand-ins of the second review, which use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/standins review/standins-2/main.rs
