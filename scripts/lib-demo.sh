# Functions that start the system on this machine; sourced by scripts/demo,
# scripts/run-examples, bench/measure and bench/slopes. All processes listen on
# free loopback ports; stop_all stops them by pid when the script exits.

BIN_DIR=${BIN_DIR:-build/release}
RUN_DIR=$(mktemp -d)
PIDS=
INSTANCES=
OPERATOR_KEY=demo-operator-key-0001
export ZINNIALINE_OPERATOR_KEY=$OPERATOR_KEY

# Stops the instances before the platform, so that they can release there what
# they hold.
stop_all () {
	for pid in $INSTANCES
	do
		kill "$pid" 2>/dev/null
	done
	for pid in $INSTANCES
	do
		wait "$pid" 2>/dev/null
	done
	for pid in $PIDS
	do
		kill "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	rm -rf "$RUN_DIR"
}

# get_port FILE NAME: prints the port NAME from the ready line in FILE.
get_port () {
	sed -n "s/^ready.* $2=\([0-9]*\).*/\1/p" "$1"
}

# wait_ready FILE: waits up to 10 s for the ready line in FILE.
wait_ready () {
	local tries=0
	while ! grep -q '^ready' "$1" 2>/dev/null
	do
		tries=$((tries + 1))
		if test $tries -gt 200
		then
			echo "no ready line in $1 within 10 s" >&2
			cat "$1" "${1%.out}.err" >&2
			exit 1
		fi
		sleep 0.05
	done
}

# start_process NAME COMMAND...: runs COMMAND in the background and waits until
# it is ready. Its pid is in $RUN_DIR/NAME.pid, its output in NAME.out and
# NAME.err there.
start_process () {
	local name=$1
	shift
	"$@" >"$RUN_DIR/$name.out" 2>"$RUN_DIR/$name.err" &
	echo $! >"$RUN_DIR/$name.pid"
	case "$*" in
	*" serve "*) INSTANCES="$INSTANCES $!" ;;
	*) PIDS="$PIDS $!" ;;
	esac
	wait_ready "$RUN_DIR/$name.out"
}

# get_pid NAME: prints the pid of a started process.
get_pid () {
	cat "$RUN_DIR/$1.pid"
}

# send_control NAME COMMAND: sends a control command to a stand-in and prints
# the first line of the answer.
send_control () {
	exec 9<>"/dev/tcp/127.0.0.1/$(get_port "$RUN_DIR/$1.out" control)"
	echo "$2" >&9
	head -n 1 <&9
	exec 9>&-
}

# find_free_ports COUNT: prints free ports. The replication ports of a group
# must be known before its first endpoint starts.
find_free_ports () {
	"$BIN_DIR/bench-load" ports "$1"
}

# start_platform OPTION...: starts the stand-in for the platform.
start_platform () {
	start_process platform "$BIN_DIR/standin-platform" \
		--listen 127.0.0.1:0 --control 127.0.0.1:0 "$@"
	PLATFORM=127.0.0.1:$(get_port "$RUN_DIR/platform.out" listen)
}

# start_group NAME OPTION...: starts three endpoints, the first as primary.
start_group () {
	local group=$1 r r1 r2 r3 n own peers p term
	shift
	set -- "$@"
	r=$(find_free_ports 3)
	r1=$(echo "$r" | sed -n 1p)
	r2=$(echo "$r" | sed -n 2p)
	r3=$(echo "$r" | sed -n 3p)
	for n in 1 2 3
	do
		eval "own=\$r$n"
		peers=
		for p in $r1 $r2 $r3
		do
			test "$p" = "$own" ||
				peers="$peers${peers:+,}127.0.0.1:$p"
		done
		term=
		test $n = 1 && term="--primary-term 1"
		start_process "$group-$n" "$BIN_DIR/standin-endpoint" \
			--name "$group-$n" --listen 127.0.0.1:0 \
			--replication 127.0.0.1:"$own" --peers "$peers" \
			--control 127.0.0.1:0 $term "$@"
	done
}

# start_instance NAME ZONE: writes the settings of an instance and starts it.
start_instance () {
	cat >"$RUN_DIR/$1.yaml" <<YAML
instance:
  name: $1
  zone: $2
listen:
  callers: 127.0.0.1:0
  operators: 127.0.0.1:0
  peers: 127.0.0.1:0
platform:
  addresses: [$PLATFORM]
  lease_s: ${LEASE_S:-3600}
endpoints:
  user: zinnialine
  dbname: orders
callers:
  token_key_hex: 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
security:
  operator_key: $OPERATOR_KEY
  curve_public: 'bS!c]y7&f{@y0\$50cJ4R}BRrC*7NT9T[N:i00hLm'
  curve_secret: '0/RzNf^&izs\$#:Uw^^=oeh/.O-U%]]PHW[kKr94\$'
log:
  format: text
  level: ${LOG_LEVEL:-info}
YAML
	start_process "$1" "$BIN_DIR/zinnialine" serve \
		--settings "$RUN_DIR/$1.yaml"
}

# get_callers_port INSTANCE: prints the port for callers.
get_callers_port () {
	get_port "$RUN_DIR/$1.out" callers
}

# get_operators_address INSTANCE: prints the IP:PORT for operators.
get_operators_address () {
	echo "127.0.0.1:$(get_port "$RUN_DIR/$1.out" operators)"
}

# run_client INSTANCE COMMAND...: runs the operators' command-line client
# against an instance.
run_client () {
	local instance=$1 cmd=$2
	shift 2
	"$BIN_DIR/zinnialine" "$cmd" --server \
		"$(get_operators_address "$instance")" "$@"
}

# add_endpoints GROUP ZONE1 ZONE2 ZONE3 SLOTS CONNECTIONS: adds the endpoints of
# a started group to the configuration.
add_endpoints () {
	local n=0 z p
	for z in "$2" "$3" "$4"
	do
		n=$((n + 1))
		p=$(get_port "$RUN_DIR/$1-$n.out" listen)
		run_client "$FIRST" endpoint set "$1/$1-$n" --no-wait \
			zone="$z" address="127.0.0.1:$p" slots="$5" \
			connections_max="$6" state=live >/dev/null || exit 1
	done
}
