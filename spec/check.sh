#!/usr/bin/env bash
# Checks every model in this directory with spin. The search of the correct
# variants must be exhaustive and find no error. Every broken variant must violate
# an assertion. Prints the name, the verdict and the number of stored states of
# each variant.
set -euo pipefail
cd "$(dirname "$0")"

readonly depth=1000000
readonly memory_mb=4096

# explore NAME SPEC [SWITCH] searches the model SPEC.pml, with the macro SWITCH
# defined if there is one, and writes the output to build/NAME/log.
explore() {
  local name=$1 spec=$2 switch=${3:-}
  local dir=build/$name level=-O2
  # Broken variants are rejected after few states, so compiling takes most of the
  # time.
  [[ $switch == BROKEN_* ]] && level=-O0
  rm -rf "$dir"
  mkdir -p "$dir"
  (
    cd "$dir"
    spin -a ${switch:+-D"$switch"} "../../$spec.pml" >spin.log 2>&1
    if grep -qi 'error' spin.log; then exit 1; fi
    gcc -w $level -DSAFETY -DCOLLAPSE -DMEMLIM=$memory_mb -o pan pan.c >gcc.log 2>&1
    ./pan -E -w24 -m$depth >log 2>&1
  ) || { echo "$name: spin, gcc or pan failed, see spec/$dir" >&2; return 1; }
}

states() {
  sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$1" | head -n 1
}

# complete LOG succeeds if the search covered the whole state space.
complete() {
  local log=$1
  if grep -qiE 'max search depth too small|search not completed|out of memory|interrupted|aborting|bit statespace' "$log"; then
    return 1
  fi
  grep -q 'Full statespace search' "$log" && [ -n "$(states "$log")" ]
}

failed=0

report() {
  local name=$1 verdict=$2
  printf '%-36s %-10s %s states\n' "$name" "$verdict" "$(states "build/$name/log")"
}

check_correct() {
  local spec=$1 switch=${2:-} name=$1${2:+-${2#BOUND_}}
  if explore "$name" "$spec" "$switch" && complete "build/$name/log" && grep -q 'errors: 0' "build/$name/log"; then
    report "$name" accepted
  else
    report "$name" FAILED
    failed=1
  fi
}

check_broken() {
  local spec=$1 switch=$2 name=$1-${2#BROKEN_}
  if explore "$name" "$spec" "$switch" && grep -q 'assertion violated' "build/$name/log"; then
    report "$name" rejected
  else
    report "$name" NOT-REJECTED
    failed=1
  fi
}

for spec in *.pml; do
  name=${spec%.pml}
  check_correct "$name"
  for switch in $(sed -n 's/^#ifdef \(BOUND_[A-Z_]*\).*/\1/p' "$spec" | sort -u); do
    check_correct "$name" "$switch"
  done
  switches=$(sed -n 's/^#ifdef \(BROKEN_[A-Z_]*\).*/\1/p' "$spec" | sort -u)
  [ -n "$switches" ] || { echo "$spec has no broken variant" >&2; failed=1; }
  for switch in $switches; do
    check_broken "$name" "$switch"
  done
done
exit $failed
