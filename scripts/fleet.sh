# Functions that start and end a small fleet on loopback; sourced by the other scripts.
#
# Callers set FLEET_BIN (folder of the programs), FLEET_DIR (an empty folder) and DEPLOYMENT.
# Every process that is started is recorded in FLEET_PIDS and ended by fleet_end.

FLEET_PIDS=()

fleet_wait_file() {
  local file=$1 tries=0
  until [ -s "$file" ]; do
    tries=$((tries + 1))
    if [ "$tries" -gt 200 ]; then
      echo "no $file after 10 s" >&2
      return 1
    fi
    sleep 0.05
  done
}

# fleet_launch NAME PROGRAM ARGUMENTS...: starts a process; its pid goes to FLEET_DIR/NAME.pid and,
# once it has ended, its exit code to FLEET_DIR/NAME.code.
fleet_launch() {
  local name=$1
  shift
  rm -f "$FLEET_DIR/$name.pid" "$FLEET_DIR/$name.code"
  (
    code=0
    "$@" >"$FLEET_DIR/$name.out" 2>"$FLEET_DIR/$name.log" &
    echo $! >"$FLEET_DIR/$name.pid"
    wait $! || code=$?
    echo "$code" >"$FLEET_DIR/$name.code"
  ) 2>/dev/null &
  fleet_wait_file "$FLEET_DIR/$name.pid"
  FLEET_PIDS+=("$(fleet_pid "$name")")
}

fleet_pid() {
  cat "$FLEET_DIR/$1.pid"
}

fleet_platform() {
  mkdir -p "$FLEET_DIR/platform/records" "$FLEET_DIR/platform/instances"
  cp "$DEPLOYMENT/records/"*.yaml "$FLEET_DIR/platform/records/"
  fleet_launch platform "$FLEET_BIN/lagoonshore-standin" platform \
    --fleet "$FLEET_DIR/platform" --ready "$FLEET_DIR/platform.ready"
  fleet_wait_file "$FLEET_DIR/platform.ready"
  PLATFORM=$(cat "$FLEET_DIR/platform.ready")
}

# fleet_upstream SERVICE ZONE [LISTEN]: starts an upstream; on a restart LISTEN keeps its address.
fleet_upstream() {
  local service=$1 zone=$2 listen=${3:-127.0.0.1:0} instance="$1-$2"
  rm -f "$FLEET_DIR/$instance.ready"
  fleet_launch "up-$instance" "$FLEET_BIN/lagoonshore-standin" upstream \
    --deployment "$DEPLOYMENT/deployment.yaml" --service "$service" --instance "$instance" \
    --outbound "$FLEET_DIR/$instance.outbound" --facts "$PLATFORM" --listen "$listen" \
    --faults "$FLEET_DIR/$instance.faults" --ready "$FLEET_DIR/$instance.ready"
  fleet_wait_file "$FLEET_DIR/$instance.ready"
}

# fleet_node SERVICE ZONE REGION: starts the node beside an upstream that is running.
fleet_node() {
  local service=$1 zone=$2 region=$3 instance="$1-$2"
  cat >"$FLEET_DIR/$instance.yaml" <<SETTINGS
instance: $instance
service: $service
zone: $zone
region: $region
listen: { inbound: "127.0.0.1:0", outbound: "127.0.0.1:0", peer: "127.0.0.1:0", admin: "127.0.0.1:0" }
upstream: { address: "$(cat "$FLEET_DIR/$instance.ready")" }
platform: ["$PLATFORM"]
${FLEET_CONTROL:+control: $FLEET_CONTROL}
log: { format: json, level: info }
SETTINGS
  fleet_launch "node-$instance" "$FLEET_BIN/lagoonshored" --settings "$FLEET_DIR/$instance.yaml"
}

# fleet_door INSTANCE DOOR: address of a node's listener (DOOR is its field in event 1001), from its log.
fleet_door() {
  grep -m1 '"event":1001' "$FLEET_DIR/node-$1.log" | sed -n "s/.*\"$2\":\"\\([^\"]*\\)\".*/\\1/p"
}

# fleet_list SERVICE ZONE REGION [STATE]: enters a node in the platform's list.
fleet_list() {
  local service=$1 zone=$2 region=$3 state=${4:-live} instance="$1-$2" tries=0
  until [ -n "$(fleet_door "$instance" peer)" ]; do
    tries=$((tries + 1))
    [ "$tries" -le 200 ] || { echo "node $instance did not start" >&2; return 1; }
    sleep 0.05
  done
  local peer
  peer=$(fleet_door "$instance" peer)
  fleet_door "$instance" outbound >"$FLEET_DIR/$instance.outbound"
  cat >"$FLEET_DIR/platform/instances/$instance.draft" <<ENTRY
{"id": "$instance", "service": "$service", "address": "${peer%:*}", "port": ${peer##*:},
 "region": "$region", "zone": "$zone", "inbound": "$(fleet_door "$instance" inbound)",
 "state": "$state"}
ENTRY
  mv "$FLEET_DIR/platform/instances/$instance.draft" "$FLEET_DIR/platform/instances/$instance.json"
}

# fleet_get ADDRESS PATH: response of a listener to one GET request.
fleet_get() {
  exec 3<>"/dev/tcp/${1%:*}/${1##*:}"
  printf 'GET %s HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n' "$2" >&3
  cat <&3
  exec 3>&-
}

# fleet_ready INSTANCE: waits until the node reports that it is ready.
fleet_ready() {
  local tries=0
  until fleet_get "$(fleet_door "$1" admin)" /ready | grep -q '^HTTP/1.1 200'; do
    tries=$((tries + 1))
    [ "$tries" -le 400 ] || { echo "node $1 is not ready" >&2; return 1; }
    sleep 0.05
  done
}

# fleet_await PID SECONDS: waits until a process has ended.
fleet_await() {
  local tries=$(($2 * 20))
  while kill -0 "$1" 2>/dev/null; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || return 1
    sleep 0.05
  done
}

# fleet_start REGION: starts the platform and one instance of every service in every zone of
# DEPLOYMENT, and waits until all are ready; sets ENTRIES and UPSTREAMS to lists of addresses.
fleet_start() {
  local region=$1 zone service entry
  local zones services
  zones=$(sed -n 's/^zones: \[\(.*\)\]/\1/p' "$DEPLOYMENT/deployment.yaml" | tr -d ',')
  services=$(ls "$DEPLOYMENT/records" | sed 's/\.yaml$//')
  entry=$(sed -n 's/^entry: //p' "$DEPLOYMENT/deployment.yaml")
  fleet_platform
  for zone in $zones; do
    for service in $services; do
      fleet_upstream "$service" "$zone"
      fleet_node "$service" "$zone" "$region"
    done
  done
  for zone in $zones; do
    for service in $services; do
      fleet_list "$service" "$zone" "$region"
    done
  done
  ENTRIES= UPSTREAMS=
  for zone in $zones; do
    for service in $services; do
      fleet_ready "$service-$zone"
      UPSTREAMS=$UPSTREAMS,$(cat "$FLEET_DIR/$service-$zone.ready")
    done
    ENTRIES=$ENTRIES,$(fleet_door "$entry-$zone" inbound)
  done
  ENTRIES=${ENTRIES#,} UPSTREAMS=${UPSTREAMS#,}
  FLEET_ZONES=$zones FLEET_SERVICES=$services
}

fleet_end() {
  local pid
  for pid in "${FLEET_PIDS[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${FLEET_PIDS[@]}"; do
    fleet_await "$pid" 5 || kill -KILL "$pid" 2>/dev/null || true
  done
  FLEET_PIDS=()
}
