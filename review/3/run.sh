#!/usr/bin/env bash
# With TROUBLE=0 in the environment the disruption is left out.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../run_case.sh" 3
