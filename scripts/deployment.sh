# Functions that start a reference deployment on the stand-ins. Sourced by
# scripts/demo and scripts/bench_router; everything listens on 127.0.0.1.
#
# Variables set by the sourcing script: bin (directory of the programs), run
# (directory for settings and logs), team, domains (array), next_port (for the
# next upstream).

readonly OperatorToken="demo-operator-token-of-the-stand-ins"
Pids=()        # ids of all started processes
declare -A PidOf=() # process id by process name
Records=""     # admin endpoints of the upstreams, for standin-load

# start_process NAME COMMAND...: starts a program and records its process id.
start_process() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  Pids+=($!)
  PidOf[$name]=$!
}

# lose_process NAME: kills a process with SIGKILL.
lose_process() {
  kill -KILL "${PidOf[$1]}"
  wait "${PidOf[$1]}" 2>/dev/null || true
}

# stop_all: stops all processes of start_process and waits for their exit.
stop_all() {
  if [ ${#Pids[@]} -gt 0 ]; then
    kill -CONT "${Pids[@]}" 2>/dev/null || true
    kill -TERM "${Pids[@]}" 2>/dev/null || true
    wait "${Pids[@]}" 2>/dev/null || true
  fi
  Pids=()
  PidOf=()
  Records=""
}

# wait_for_port PORT: waits until a process listens on the port; fails after
# 200 attempts (20 s).
wait_for_port() {
  local n
  for n in $(seq 200); do
    if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "nothing listens on port $1" >&2
  return 1
}

# add_caller TIER KEY: adds a caller with this API key to the team's document.
add_caller() {
  printf '[caller %s]\ntier = %s\nkey_sha256 = %s\n' "$1" "$1" \
    "$(printf %s "$2" | sha256sum | cut -d' ' -f1)" >>"$run/$team.ini"
}

# begin_document: writes domains, tiers and callers of the team's document.
begin_document() {
  mkdir -p "$run"
  local domain
  : >"$run/$team.ini"
  for domain in "${domains[@]}"; do
    printf '[domain %s]\ntaken_out = false\n' "$domain" >>"$run/$team.ini"
  done
  printf '[tier paying]\nweight = 8\n[tier free]\nweight = 1\n' \
    >>"$run/$team.ini"
  add_caller paying paying-key
  add_caller free free-key
}

# add_service NAME COUNT DIVIDED SLOTS CONNECTIONS: starts the upstreams of a
# service and appends it to the team's document.
add_service() {
  local name=$1 count=$2 divided=$3 slots=$4 connections=$5 n
  printf '[service %s]\ndivided_by_key = %s\nshards = 256\nslots = %s\nwarm_up = 1000\n' \
    "$name" "$divided" "$slots" >>"$run/$team.ini"
  for n in $(seq "$count"); do
    local port=$next_port domain=${domains[$((n % ${#domains[@]}))]}
    next_port=$((next_port + 2))
    printf '[upstream %s-%s]\nservice = %s\naddress = 127.0.0.1:%s\ndomain = %s\n' \
      "$name" "$n" "$name" "$port" "$domain" >>"$run/$team.ini"
    Records+="127.0.0.1:$((port + 1)) "
    start_process "upstream-$name-$n" "$bin/standin-upstream" \
      --id "$team/$name-$n" --listen "127.0.0.1:$port" \
      --admin "127.0.0.1:$((port + 1))" --slots "$slots" \
      --connections "$connections" --warm-up-ms 1000 --latency-us 1000 \
      --report-lag-ms 1000 --divided-by-key="$divided"
  done
}

# start_platform BASE_PORT: starts the store and the VM list.
start_platform() {
  store_port=$1
  start_process store "$bin/standin-store" \
    --listen "127.0.0.1:$store_port" --admin "127.0.0.1:$((store_port + 1))"
  start_process vm-list "$bin/standin-vm-list" \
    --listen "127.0.0.1:$((store_port + 2))" --file "$run/vms.json"
  wait_for_port "$store_port"
}

# write_vm_settings N PORT: writes the settings of VM N; its ports begin at PORT.
write_vm_settings() {
  local n=$1 port=$2
  cat >"$run/vm$n.ini" <<INI
[vm]
name = vm$n
domain = ${domains[$((n % ${#domains[@]}))]}
[store]
address = 127.0.0.1:$store_port
vm_list = 127.0.0.1:$((store_port + 2))
[router]
address = 127.0.0.1:$port
forward = 127.0.0.1:$((port + 1))
metrics = 127.0.0.1:$((port + 2))
[controller]
link = 127.0.0.1:$((port + 3))
admin = 127.0.0.1:$((port + 4))
metrics = 127.0.0.1:$((port + 5))
operator_token_sha256 = $(printf %s "$OperatorToken" | sha256sum | cut -d' ' -f1)
INI
}

start_router() {
  start_process "router-vm$1" "$bin/waxwing-router" --settings "$run/vm$1.ini"
}

start_controller() {
  start_process "controller-vm$1" "$bin/waxwing-controller" \
    --settings "$run/vm$1.ini"
}

# start_vms COUNT BASE_PORT: writes each VM's settings and starts its router
# and controller. Sets: routers (IP:port ...), vm_base.
start_vms() {
  local count=$1 n rows=""
  vm_base=$2
  routers=""
  for n in $(seq "$count"); do
    local port=$((vm_base + n * 10))
    rows+="${rows:+,}{\"name\":\"vm$n\",\"domain\":\"${domains[$((n % ${#domains[@]}))]}\",\"link\":\"127.0.0.1:$((port + 3))\",\"forward\":\"127.0.0.1:$((port + 1))\"}"
    routers+="127.0.0.1:$port "
    write_vm_settings "$n" "$port"
  done
  echo "[$rows]" >"$run/vms.json"
  for n in $(seq "$count"); do
    start_controller "$n"
    start_router "$n"
  done
  for n in $(seq "$count"); do wait_for_port $((vm_base + n * 10)); done
}

# put_document: applies the team's document with waxwingctl and prints the
# revisions that each VM has in force.
put_document() {
  export WAXWING_TOKEN=$OperatorToken WAXWING_SERVER=127.0.0.1:$((vm_base + 14))
  "$bin/waxwingctl" validate "$team" "$run/$team.ini" >/dev/null
  "$bin/waxwingctl" apply "$team" "$run/$team.ini" >/dev/null
  local n
  for n in $(seq 20); do
    sleep 0.5
    if [ "$("$bin/waxwingctl" revisions | wc -l)" -ge "$(wc -w <<<"$routers")" ]; then
      break
    fi
  done
  "$bin/waxwingctl" revisions
}

# list_values VALUE...: prints each value on its own indented line.
list_values() { printf '  %s\n' "$@"; }

# write_plan FILE ROUTERS CLIENT_LATENCY_MS: writes the [load] section of a load
# plan.
write_plan() {
  cat >"$1" <<INI
[load]
routers =
$(list_values $2)
upstream_records =
$(list_values $Records)
length = ${LENGTH_MS:-6000}
client_latency = $3
min_right = ${MIN_RIGHT:-990}
INI
}

# add_stream FILE NAME KEY RATE SERVICES [MORE_LINES]: appends a [stream NAME]
# section to a load plan.
add_stream() {
  printf '[stream %s]\ncaller_key = %s\nrate = %s\nservices =\n%s\nhot_keys = 11\nhot_share = 30\nhot_period = 3000\nresend_share = 100\n%s\n' \
    "$2" "$3" "$4" "$(list_values $5)" "${6:-}" >>"$1"
}
