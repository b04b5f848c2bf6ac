# Starts stand-ins and nodes on the loopback; sourced by the measuring
# scripts.  Sets work (a scratch folder), platform (URL) and pids.
work=$(mktemp -d)
pids=()

stop_all() {
  # A disowned process ends without a line about it.
  disown -a
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# start_fakes ENGINES SERVICES
start_fakes() {
  build/tests/gs_fakes --port 0 --engines "$1" --services "$2" \
    >"$work/fakes" &
  pids+=($!)
  until grep -q port= "$work/fakes"; do sleep 0.05; done
  platform="http://127.0.0.1:$(sed -n 's/port=//p' "$work/fakes")"
}

# start_node NAME DATA_CENTRE PORT [COMMAND...]: the caller's port, the
# operators' one above it and the peers' two above it.  Sets node_pid.
start_node() {
  local name=$1 dc=$2 port=$3
  shift 3
  cat >"$work/$name.ini" <<INI
[node]
name=$name
address=127.0.0.1
region=new-england
data_centre=$dc
caller_port=$port
operator_port=$((port + 1))
peer_port=$((port + 2))
[platform]
url=$platform
[security]
peer_key=measure-peer-key
[log]
level=warn
INI
  curl -sf -o /dev/null -X POST "$platform/control/vms" -d "{\"name\":\"$name\",
    \"kind\":\"node\",\"address\":\"127.0.0.1\",\"port\":$port,
    \"peer_port\":$((port + 2)),\"data_centre\":\"$dc\",
    \"region\":\"new-england\",\"state\":\"live\"}"
  "$@" build/garnetstack node --config "$work/$name.ini" \
    >"$work/$name.log" 2>&1 &
  node_pid=$!
  pids+=("$node_pid")
}

wait_for() { until curl -sf "$1" >/dev/null; do sleep 0.05; done; }

# apply_catalogue OPERATOR_URL: limits out of the way of a measurement.
apply_catalogue() {
  cat >"$work/catalogue.ini" <<INI
[class counter]
owner=curdwright
purpose=measuring
first_token_ms=5000
token_ms=1000
[operator dana]
owner=curdwright
purpose=first operator
class=counter
keys=$(digest measure-operator-key)
[account shop]
owner=curdwright
purpose=measuring
class=counter
requests_per_sec=100000
tokens_per_sec=10000000
in_flight_max=10000
keys=$(digest measure-account-key)
[model assistant]
owner=curdwright
purpose=measuring
class=counter
versions=v1
active=v1
INI
  printf measure-peer-key >"$work/key"
  wait_for "$1/healthz"
  until build/garnetstack catalogue apply --key-file "$work/key" \
    --generation 0 --node "$1" --file "$work/catalogue.ini" \
    >/dev/null 2>"$work/apply"; do sleep 0.2; done
}
