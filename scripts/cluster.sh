# Functions that run a small cluster as separate processes on 127.0.0.0/8. To be sourced.
# Signals are sent only to processes that were started here.
#
# Layout: control 127.0.1.N:7001, balancers 127.0.2.N (envelopes 7101), fabric flows 127.0.3.1,
# agents 127.0.4.N (envelopes 7201, registrations 7202), backend servers 127.0.5.N:7301,
# services 127.0.9.N. Each process serves its metrics at port 9100 of its address.

: "${CLUSTER_BUILD:=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/build/release}"
: "${CLUSTER_CONTROLS:=3}"
: "${CLUSTER_BALANCERS:=3}"
cluster_program="$CLUSTER_BUILD/carawayshelf"
cluster_folder=""
declare -A cluster_pid=()
cluster_control_list=""
cluster_agent_count=0

cluster_begin() {
    cluster_folder="$(mktemp -d)"
    local i
    for ((i = 1; i <= CLUSTER_CONTROLS; ++i)); do
        cluster_control_list+="${cluster_control_list:+,}127.0.1.$i:7001"
    done
}

# cluster_start NAME COMMAND...: starts a process; its standard output goes to NAME.out, its standard
# error output to NAME.log.
cluster_start() {
    local name="$1"
    shift
    "$@" >"$cluster_folder/$name.out" 2>>"$cluster_folder/$name.log" &
    cluster_pid[$name]=$!
}

# cluster_stop NAME [SIGNAL]: signals a process and waits until it has ended. Returns its status.
cluster_stop() {
    local name="$1" pid="${cluster_pid[$1]:-}"
    [ -n "$pid" ] || return 0
    kill "-${2:-TERM}" "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
    local code=$?
    unset "cluster_pid[$name]"
    return "$code"
}

# cluster_end: kills all processes and removes the cluster's folder.
cluster_end() {
    local name
    for name in "${!cluster_pid[@]}"; do
        kill -CONT "${cluster_pid[$name]}" 2>/dev/null
        kill -KILL "${cluster_pid[$name]}" 2>/dev/null
    done
    wait 2>/dev/null
    cluster_pid=()
    [ -z "$cluster_folder" ] || rm -rf "$cluster_folder"
}

cluster_control() {
    local i="$1"
    cat >"$cluster_folder/control$i.ini" <<INI
[control]
slot = $i
data_folder = $cluster_folder/control$i
instances = $cluster_control_list
${CLUSTER_CONTROL_EXTRA:-}
[metrics]
address = 127.0.1.$i:9100
INI
    cluster_start "control$i" "$cluster_program" control "--config=$cluster_folder/control$i.ini"
}

cluster_balancer() {
    local i="$1" domain="$2"
    cat >"$cluster_folder/balancer$i.ini" <<INI
[balancer]
name = balancer-$i
domain = $domain
data_address = 127.0.2.$i:7101
entry_address = 127.0.2.$i
[control]
instances = $cluster_control_list
[metrics]
address = 127.0.2.$i:9100
INI
    cluster_start "balancer$i" "$cluster_program" balancer "--config=$cluster_folder/balancer$i.ini"
}

cluster_agent() {
    local i="$1" domain="$2"
    cat >"$cluster_folder/agent$i.ini" <<INI
[agent]
name = agent-$i
domain = $domain
data_address = 127.0.4.$i:7201
announce_address = 127.0.4.$i:7202
[control]
instances = $cluster_control_list
[metrics]
address = 127.0.4.$i:9100
INI
    cluster_start "agent$i" "$cluster_program" agent "--config=$cluster_folder/agent$i.ini"
}

# cluster_server I SERVICE [FLAGS...]: starts a backend server that registers at agent I.
cluster_server() {
    local i="$1" service="$2"
    shift 2
    cluster_start "server$i" "$CLUSTER_BUILD/tests/standin_backend_server" \
        "--name=server-$i" "--service=$service" "--listen=127.0.5.$i:7301" \
        "--agent=127.0.4.$i:7202" "--runs=$cluster_folder/runs" "$@"
}

# cluster_fabric SERVICE_ADDRESSES [FLAGS...]: starts the fabric in front of all balancers.
cluster_fabric() {
    local services="$1" balancers="" i
    shift
    for ((i = 1; i <= CLUSTER_BALANCERS; ++i)); do
        balancers+="${balancers:+,}127.0.2.$i:1"
    done
    cluster_start fabric "$CLUSTER_BUILD/tests/standin_fabric" "--services=$services" \
        "--balancers=$balancers" "$@"
}

# cluster_caller NAME SERVICE ADDRESS [FLAGS...]: starts callers of a service.
cluster_caller() {
    local name="$1" service="$2" address="$3"
    shift 3
    cluster_start "$name" "$CLUSTER_BUILD/tests/standin_caller" "--name=$name" \
        "--service=$service" "--service_address=$address" \
        "--orders=$cluster_folder/$name.orders" "$@"
}

# cluster_do WORDS...: runs an operator's command.
cluster_do() {
    "$cluster_program" "$@" "--control=$cluster_control_list"
}

# cluster_until SECONDS COMMAND...: repeats a command until it succeeds. Fails after SECONDS.
cluster_until() {
    local limit=$((SECONDS + $1))
    shift
    until "$@"; do
        [ "$SECONDS" -lt "$limit" ] || return 1
        sleep 0.1
    done
}

# cluster_is_safe: succeeds if the loss of any control instance is tolerated.
cluster_is_safe() {
    cluster_do status 2>/dev/null | grep -q 'instance is safe'
}

# cluster_has_members COUNT: succeeds if exactly that many members own buckets.
cluster_has_members() {
    [ "$(cluster_do status 2>/dev/null | grep -c 'buckets [1-9]')" -eq "$1" ]
}

# cluster_count LINE NAME: prints the value of NAME=value in a line; 0 if it is missing.
cluster_count() {
    local value
    value="$(grep -o "\b$2=[0-9]*" <<<"$1" | head -n 1 | cut -d= -f2)"
    echo "${value:-0}"
}

# cluster_check_orders: checks that no order ran twice, that no order refused as "not run" did run,
# and that each order answered as "ran" did run. Prints the first three violations of each kind.
cluster_check_orders() {
    local twice wrong lost
    touch "$cluster_folder/runs"
    sort "$cluster_folder/runs" >"$cluster_folder/runs.sorted"
    twice="$(uniq -d "$cluster_folder/runs.sorted" | head -n 3)"
    cat "$cluster_folder"/*.orders | awk '$2 == "not_run" { print $1 }' | sort \
        >"$cluster_folder/not_run.sorted"
    wrong="$(comm -12 "$cluster_folder/runs.sorted" "$cluster_folder/not_run.sorted" | head -n 3)"
    cat "$cluster_folder"/*.orders | awk '$2 == "ran" { print $1 }' | sort \
        >"$cluster_folder/told_ran.sorted"
    lost="$(comm -13 "$cluster_folder/runs.sorted" "$cluster_folder/told_ran.sorted" | head -n 3)"
    [ -z "$twice" ] || echo "orders that ran twice: $twice"
    [ -z "$wrong" ] || echo "orders that ran although they were refused as not run: $wrong"
    [ -z "$lost" ] || echo "orders that did not run although they were answered as ran: $lost"
    [ -z "$twice$wrong$lost" ]
}
