#!/bin/bash
# Explores the specification with spin: each *.pml must hold, each broken/*.pml must be rejected by
# an assertion. A broken variant defines what it removes and includes "../name.pml".
set -euo pipefail
cd "$(dirname "$0")/../spec"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
# explore runs in the folder of the model, so that its include is found. A model that cannot be built ends the
# script: "set -e" does not hold in the conditions that call this.
explore() {
  rm -f "$work"/*
  (
    cd "$(dirname "$1")" &&
      cpp -P -undef "$(basename "$1")" "$work/model.pml" &&
      cd "$work" &&
      spin -a model.pml >spin.log &&
      gcc -O1 -DSAFETY -DVECTORSZ=4096 -o pan pan.c 2>gcc.log
  ) || {
    echo "$1: cannot be built" >&2
    cat "$work"/*.log >&2
    exit 1
  }
  (cd "$work" && ./pan -E -m2000000 -w22 >pan.log) || true
  if ! grep -q '^Full statespace search' "$work/pan.log" || grep -q 'max search depth too small\|out of memory' "$work/pan.log"; then
    echo "$1: search incomplete" >&2
    exit 1
  fi
  grep -q 'errors: 0' "$work/pan.log"
}
for m in *.pml; do
  explore "$m" || { echo "$m: property violated" >&2; grep -m1 'pan:1' "$work/pan.log" >&2; exit 1; }
  echo "$m: holds ($(grep -m1 'states, stored' "$work/pan.log" | tr -s ' '))"
done
for m in broken/*.pml; do
  if explore "$m"; then
    echo "$m: broken variant was not rejected" >&2
    exit 1
  fi
  # A syntax error or another fault of the model is no rejection.
  grep -q 'pan:1: assertion violated' "$work/pan.log" || { echo "$m: failed without a violated assertion" >&2; exit 1; }
  echo "$m: rejected ($(grep -m1 -o 'assertion violated.*' "$work/pan.log" | cut -c1-70))"
done
