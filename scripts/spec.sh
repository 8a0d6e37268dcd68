#!/bin/bash
# Explores the specification with spin: each *.pml must hold, each broken/*.pml must be rejected.
set -euo pipefail
cd "$(dirname "$0")/../spec"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
explore() {
  cp "$1" "$work/model.pml"
  (cd "$work" && spin -a model.pml >spin.log && gcc -O2 -DSAFETY -DVECTORSZ=4096 -o pan pan.c 2>gcc.log && ./pan -m2000000 -w26 >pan.log)
  if grep -q 'max search depth too small' "$work/pan.log"; then
    echo "$1: search incomplete" >&2
    exit 1
  fi
  grep -q 'errors: 0' "$work/pan.log"
}
for m in *.pml; do
  [ -e "$m" ] || continue
  explore "$m" || { echo "$m: property violated" >&2; exit 1; }
  echo "$m: holds ($(grep -m1 'states, stored' "$work/pan.log" | tr -s ' '))"
done
for m in broken/*.pml; do
  [ -e "$m" ] || continue
  if explore "$m"; then
    echo "$m: broken variant was not rejected" >&2
    exit 1
  fi
  echo "$m: rejected as expected"
done
