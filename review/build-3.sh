#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start, into build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/support-3 -B build-review-3 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review-3 -j "$(nproc)"
