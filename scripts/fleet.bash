# Functions that run a fleet on loopback, to be sourced by Bash scripts. The caller sets
# $state to the directory for keys and logs, and runs in the root of the repository.
# shellcheck shell=bash

pids=()
declare -A pid_of
domains=(zurich-a geneva-a basel-a)
regions=(zurich geneva basel)
entries=()
operators=()
operator_token=demo-operator

stop_all() {
  ((${#pids[@]})) || return 0
  kill -TERM "${pids[@]}" 2>/dev/null || true
  local pid running
  for _ in $(seq 50); do
    running=0
    for pid in "${pids[@]}"; do if kill -0 "$pid" 2>/dev/null; then running=1; fi; done
    ((running)) || return 0
    sleep 0.1
  done
  kill -KILL "${pids[@]}" 2>/dev/null || true
}

# start NAME COMMAND..: starts a process that logs to $state/NAME.log and stores its ID in pid_of[NAME].
start() {
  local name=$1
  shift
  "$@" >"$state/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=("$!")
}

# answers IP PORT PATH: succeeds if an HTTP GET returns status 200. Waits up to 2 s for the answer.
answers() {
  local line
  { exec 9<>"/dev/tcp/$1/$2"; } 2>/dev/null || return 1
  printf 'GET %s HTTP/1.0\r\nHost: demo\r\n\r\n' "$3" >&9
  read -r -t 2 line <&9 || line=
  exec 9<&-
  [[ $line == *" 200 "* ]]
}

# await NAME SECONDS IP PORT PATH: waits until an HTTP GET to process NAME returns status 200. Prints
# the end of its log and exits if that does not happen in time or the process has exited.
await() {
  local name=$1 limit=$2
  shift 2
  for _ in $(seq $((limit * 20))); do
    kill -0 "${pid_of[$name]}" 2>/dev/null || break
    if answers "$@"; then return 0; fi
    sleep 0.05
  done
  echo "$name exited or did not return status 200 on $1:$2$3 within ${limit}s; end of its log:" >&2
  tail -n 20 "$state/$name.log" >&2
  exit 1
}

# join WORD..: prints the words, separated by commas.
join() { local IFS=,; echo "$*"; }

# take_block: sets $net to the first unused block of loopback addresses, 127.N, because
# another fleet may be running on this machine.
take_block() {
  local block=1
  while answers "127.$block.0.1" 7003 /v1/members || answers "127.$block.1.1" 8099 /livez; do block=$((block + 1)); done
  net=127.$block
}

# start_platform: starts the fake table service, object store and membership list.
start_platform() {
  start tables bin/tanager-stand tables --address "$net.0.1:7001" --control-address "$net.0.1:7101"
  start objects bin/tanager-stand objects --address "$net.0.1:7002" --control-address "$net.0.1:7102"
  start members bin/tanager-stand members --address "$net.0.1:7003" --control-address "$net.0.1:7103" --lag 1s
  await members 5 "$net.0.1" 7003 /v1/members
}

# start_back_ends TARGETS WORKERS: starts fake targets of 8 slots and fake workers. The arguments are their
# numbers in each failure domain.
start_back_ends() {
  local spread=zurich-a=zurich,geneva-a=geneva,basel-a=basel
  start targets bin/tanager-stand targets --domain $spread --count "$1" --slots 8 --address "$net.100.1:8080" \
    --control-address "$net.0.1:7104" --members-address "$net.0.1:7003"
  start workers bin/tanager-stand workers --domain $spread --count "$2" --rack-size 8 --address "$net.150.1:8081" \
    --control-address "$net.0.1:7105" --members-address "$net.0.1:7003"
  await targets 10 "$net.0.1" 7104 /v1/record
  await workers 10 "$net.0.1" 7105 /v1/record
}

# enroll DOMAIN-INDEX NUMBER STATE: adds an entry VM to the membership list or changes its state, as the
# platform does. DOMAIN-INDEX is an index into domains, from 0.
enroll() {
  local d=$1 n=$2 ip=$net.$(($1 + 1)).$2
  bin/tanager-stand enroll --members-address "$net.0.1:7003" --name "${domains[$d]}-$n" --domain "${domains[$d]}" \
    --region "${regions[$d]}" --address "$ip:8080" --peer-address "$ip:7400" --state "$3"
}

# start_entry DOMAIN-INDEX NUMBER: starts an entry VM and adds it to the membership list.
start_entry() {
  local d=$1 n=$2 ip=$net.$(($1 + 1)).$2
  local name=${domains[$d]}-$n hash
  hash=$(printf %s "$operator_token" | sha256sum | cut -d' ' -f1)
  start "$name" bin/tanager-entry --name "$name" --domain "${domains[$d]}" --region "${regions[$d]}" \
    --callers-address "$ip:8080" --operators-address "$ip:8090" --debug-address "$ip:8099" --peers-address "$ip:7400" \
    --tables-address "$net.0.1:7001" --objects-address "$net.0.1:7002" --members-address "$net.0.1:7003" \
    --seeds "zurich-a-1=$net.1.1:7400,geneva-a-1=$net.2.1:7400,basel-a-1=$net.3.1:7400" \
    --ca-file "$state/keys/ca.pem" --cert-file "$state/keys/$name.pem" --key-file "$state/keys/$name-key.pem" \
    --operator-tokens "demo=$hash"
  enroll "$d" "$n" live
  entries+=("$ip:8080")
  operators+=("$ip:8090")
}

# start_fleet TARGETS WORKERS: starts a complete fleet with nine entry VMs, applies the sample policy and
# waits until all entry VMs are ready. The arguments are numbers in each failure domain.
start_fleet() {
  local d n names=()
  rm -rf "$state"
  mkdir -p "$state"
  for d in 0 1 2; do names+=("${domains[$d]}-1" "${domains[$d]}-2" "${domains[$d]}-3"); done
  bin/tanager keys --out "$state/keys" --names "$(join "${names[@]}")" >"$state/keys.log"
  take_block
  start_platform
  start_back_ends "$1" "$2"
  for d in 0 1 2; do for n in 1 2 3; do start_entry $d $n; done; done
  for d in 0 1 2; do for n in 1 2 3; do await "${domains[$d]}-$n" 10 "$net.$((d + 1)).$n" 8099 /livez; done; done
  export TANAGER_TOKEN=$operator_token TANAGER_ENTRY=${operators[0]}
  bin/tanager policy sample >"$state/policy.yaml"
  bin/tanager policy apply "$state/policy.yaml" --reason "First policy of a fleet on loopback." --expected-version 0
  for d in 0 1 2; do for n in 1 2 3; do await "${domains[$d]}-$n" 15 "$net.$((d + 1)).$n" 8099 /readyz; done; done
}
