# Functions for tests of hosts with different configurations, to be sourced after
# process_functions.sh with `hosts` set: the stand-ins, hosts that these can tell
# apart, and configurations larger than the records that are relayed.
services=(counter other)

number_of() { printf '%s\n' "${hosts[@]}" | grep -n "^$1$" | cut -d: -f1; }
port_of() { echo $((base + 10 + 5 * $(number_of "$1"))); }
source_of() { echo "127.0.0.$((10 + $(number_of "$1")))"; }
runner_port() { echo $((base + 1 + $1)); }

# The route /moved/ and the keys follow the version.
write_configuration() {  # VERSION KEY SERVICE_OF_MOVED ADDED [JQ_FILTER]
  jq --argjson version "$1" --arg key "$2" --arg moved "$3" --argjson added "$4" '
    def route($name; $service): .routes[1] + {name: $name, path_prefix: ("/" + $name + "/"), service: $service};
    . as $base
    | .version = $version
    | .services += [{name: "other", max_connections: 100}]
    | .tenants[0] += {api_keys: ["demo-key", $key], rate_per_s: 100000000}
    | .routes += [$base | route("moved"; $moved)]
    | .routes += (if $added then [$base | route("added"; "counter")] else [] end)
    | .routes += [range(40) as $i | $base | route("unused-\($i)"; "counter")]
    | '"${5:-.}" tests/stand_ins/configuration.json >"$dir/configuration-$1.json"
  put config "$dir/configuration-$1.json"
}
# Sends requests until a time; logs the id, the status and the path of each.
send_until() {  # END HOST PATH KEY
  local number=0 id status
  while [ "$(now_ms)" -lt "$1" ]; do
    number=$((number + 1))
    id="$2-${3//\//}-$4-$number-$RANDOM"
    status=$(curl -s -o /dev/null -w '%{http_code}' --max-time $((deadline_ms / 1000)) \
      -H 'Host: provador.example' -H "Authorization: Bearer $4" -H "Request-Id: $id" \
      -H "Deadline-Ms: $deadline_ms" -X POST -d x "http://127.0.0.1:$(port_of "$2")$3" || true)
    echo "$id $status $3 $4" >>"$dir/sent"
    sleep 0.02
  done
}
count() { awk "$1 { n++ } END { print n + 0 }" "$dir/sent"; }

# Starts the store, writes configuration 1 and starts a runner of each service.
start_stand_ins() {
  local i
  # Without an era only offsets tell what is newer.
  "$build/tests/fake_store" --listen "$store" --era none >"$dir/store.log" 2>&1 &
  pids+=($!)
  until_ok $start_ms curl -fs "http://$store/log-newest?topic=keyed.op&part=0"
  write_configuration 1 old-key counter false
  for i in 0 1; do
    "$build/tests/fake_runner" --listen "127.0.0.1:$(runner_port $i)" --id "${services[i]}" \
      --service "${services[i]}" --zone a --store "$store" --work-ms 20 \
      --runs "$dir/${services[i]}.runs" >"$dir/${services[i]}.log" 2>&1 &
    pids+=($!)
  done
}
# Starts one host after the other; the first one gets the lease.
start_hosts() {  # HOST ...
  local host first=$1 program
  for host in "$@"; do
    program=$build
    [[ "$earlier_hosts" != *" $host "* ]] || program=$earlier
    start_host_from "$host" "$(port_of "$host")" "$(source_of "$host")" "$program"
    until_ok $start_ms curl -fs "http://127.0.0.1:$(($(port_of "$host") + 1))/readyz"
    until_ok $start_ms send_request "$(port_of "$host")" /reservations/a "first-$host"
    until_ok $start_ms grep -q lease.gained "$dir/$first.log"
  done
}
refuse_store() {  # MS HOST ...
  local host
  for host in "${@:2}"; do
    curl -fsS -o /dev/null -X POST "http://$store/admin/refuse?from=$(source_of "$host")&for_ms=$1"
  done
}
cut_from_runners() {  # MS HOST ...
  local host i
  for host in "${@:2}"; do
    for i in 0 1; do
      curl -fsS -o /dev/null -X POST \
        "http://127.0.0.1:$(runner_port $i)/admin/cut?from=$(source_of "$host")&how=reset&for_ms=$1"
    done
  done
}
