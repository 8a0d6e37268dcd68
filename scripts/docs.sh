#!/bin/bash
# Checks that the files that the docs link to exist and that no machine path is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0
while IFS=: read -r file link; do
  target="${link%%#*}"
  [ -n "$target" ] || continue
  if [ ! -e "$(dirname "$file")/$target" ]; then
    echo "$file: broken link $link" >&2
    status=1
  fi
done < <(git ls-files '*.md' | xargs -r grep -oHE '\]\([^)#:]+(#[^)]*)?\)' | sed -E 's/\]\(([^)]*)\)/\1/')
if git grep -nIE '/(work|root|home)/[a-z]' -- . ':!scripts/docs.sh' ':!go.sum'; then
  echo "machine path in a committed file" >&2
  status=1
fi
exit $status
