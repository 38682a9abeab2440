#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake -S review -B build-review -DCMAKE_BUILD_TYPE=Release
cmake --build build-review -j4
