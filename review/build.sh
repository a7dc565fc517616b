#!/usr/bin/env bash
# Builds the stand-ins of all scripts into target/review/. They need a compiler
# and the JSON headers that the deploy file's packages bring.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers \
    -o "target/review/$(basename "$source" .cpp)" "$source" -lpthread
done
