#!/bin/bash
# Checks the models with spin. The properties of each *.pml must hold, and each broken/*.pml must violate an assertion. A
# broken variant defines the macro that removes a rule and includes "../name.pml".
set -euo pipefail
cd "$(dirname "$0")/../spec"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
# explore checks a model and succeeds if no assertion is violated. It preprocesses the model in the directory of the model,
# so that the include is found. It exits the script if the model cannot be built, because "set -e" has no effect in the
# conditions that call this function.
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
  # Only a violated assertion counts as a rejection, not a syntax error or another fault of the model.
  grep -q 'pan:1: assertion violated' "$work/pan.log" || { echo "$m: failed without a violated assertion" >&2; exit 1; }
  echo "$m: rejected ($(grep -m1 -o 'assertion violated.*' "$work/pan.log" | cut -c1-70))"
done
