#!/usr/bin/env bash
# Runs the quickstart: a gateway before a stand-in engine and a stand-in
# service, one streamed request and one booking. Fails unless both responses
# are complete.
#
#   testing/run_example.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."

BUILD_DIR="${1:?usage: testing/run_example.sh BUILD_DIR}"
CALLER=http://127.0.0.1:18080
ADMIN=http://127.0.0.1:18082
KEY="authorization: Bearer quickstart-key"
READY_TRIES=200

scratch="$(mktemp -d)"
started=()
stop_all() {
  if [ ${#started[@]} -gt 0 ]; then
    kill "${started[@]}" 2>/dev/null || true
    wait "${started[@]}" 2>/dev/null || true
  fi
  rm -rf "$scratch"
}
trap stop_all EXIT

start() { # NAME COMMAND...
  local name="$1"
  shift
  "$@" >"$scratch/$name.out" 2>"$scratch/$name.log" &
  started+=($!)
}

fail() {
  echo "run_example: $1" >&2
  tail -n 20 "$scratch"/*.log >&2
  exit 1
}

start engine "$BUILD_DIR/testing/stand_in/stand_in_engine" --port 18090 \
  --token-interval 50ms
start service "$BUILD_DIR/testing/stand_in/stand_in_service" --port 18091
start gateway "$BUILD_DIR/programs/rattanweird/rattanweird" \
  --settings examples/quickstart/settings.yaml

for ((try = 1; ; ++try)); do
  curl -sf -o "$scratch/ready" "$ADMIN/readyz" && break
  for process in "${started[@]}"; do
    kill -0 "$process" 2>/dev/null || fail "a process ended early"
  done
  [ "$try" -lt "$READY_TRIES" ] || fail "the gateway did not become ready"
  sleep 0.05
done

echo "== a streamed answer"
curl -sfN "$CALLER/v1/chat/completions" -H "$KEY" \
  -H 'content-type: application/json' \
  -d '{"model":"guide","prompt":"What to pack?","max_tokens":8,"stream":true}' |
  tee "$scratch/stream"
grep -q '^data: \[DONE\]' "$scratch/stream" || fail "the stream is not whole"

echo "== a booking, sent twice under one idempotency key"
issued="$(curl -sf "$CALLER/v1/idempotency-keys" -H "$KEY" \
  -H 'content-type: application/json' -d '{"route":"bookings"}')"
idempotency_key="$(sed -n 's/.*"idempotency_key" *: *"\([^"]*\)".*/\1/p' \
  <<<"$issued")"
[ -n "$idempotency_key" ] || fail "no idempotency key in: $issued"
for try in first second; do
  curl -sf "$CALLER/bookings" -H "$KEY" -H "idempotency-key: $idempotency_key" \
    -H 'content-type: application/json' -d '{"group":"fox","places":1}' |
    tee "$scratch/$try"
  echo
done
cmp -s "$scratch/first" "$scratch/second" || fail "the repeat was run again"
echo "== both answers are whole"
