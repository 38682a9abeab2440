#!/usr/bin/env bash
# Runs the case NUMBER; used by the run.sh of each case.
set -uo pipefail
cd "$(dirname "$0")/.."

number="${1:?usage: run_case.sh NUMBER}"
program="build-review/review_case_$number"
gateway="target/programs/rattanweird/rattanweird"
for file in "$program" "$gateway"; do
  if [ ! -x "$file" ]; then
    echo "$file is missing: run the build of deploy/system.toml and review/build.sh"
    exit 2
  fi
done

folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=2 110 "$program" --program "$gateway" --folder "$folder" \
  --record "review/$number/record.txt"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp -r "$folder" "$KEEP_LOGS"; fi
if [ "$code" -ne 0 ] && [ "$code" -ne 1 ]; then exit 2; fi
exit "$code"
