#!/bin/bash
# Checks that the links in the docs lead to existing files, that each page is reachable by links from README.md, that the
# commands in the docs exist, and that no committed file contains an absolute path of a development machine.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0
fail() {
  echo "$1" >&2
  status=1
}

# links prints the link targets of a page, without links to other hosts.
links() { grep -oE '\]\([^)#:]+(#[^)]*)?\)' "$1" | sed -E 's/\]\(([^)#]*).*/\1/' || true; }

declare -A reached=()
visit() {
  [ -z "${reached[$1]:-}" ] || return 0
  reached[$1]=1
  local link
  while read -r link; do
    case "$link" in
      *.md) visit "$(realpath -m --relative-to=. "$(dirname "$1")/$link")" ;;
    esac
  done < <(if [ -e "$1" ]; then links "$1"; fi)
}
visit README.md
while read -r page; do
  while read -r link; do
    [ -e "$(dirname "$page")/$link" ] || fail "$page: broken link $link"
  done < <(links "$page")
  [ -n "${reached[$page]:-}" ] || fail "$page: not reachable by links from README.md"
done < <(git ls-files '*.md')

bin="$(mktemp -d)"
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" . ./cmd/jcbench
# known reports whether the help text of a command lists the last argument as a subcommand.
known() { "$bin/$1" "${@:2:$#-2}" --help | sed -n '/^Commands:/,/^$/p' | grep -qE "^  ${*: -1}( |\$)"; }
# Commands are recognised only at the start of an indented code line or after a backquote, so that prose that contains a
# program name is not checked.
while IFS=: read -r page text; do
  read -r program command rest <<<"$text"
  case "$command" in
    '' | -*) continue ;;
  esac
  if ! known "$program" "$command"; then
    fail "$page: there is no command $program $command"
    continue
  fi
  sub="${rest%% *}"
  if "$bin/$program" "$command" --help | grep -q '^Commands:' && ! { [[ "$sub" =~ ^[a-z]+$ ]] && known "$program" "$command" "$sub"; }; then
    fail "$page: there is no command $program $command $sub"
  fi
done < <(git ls-files '*.md' | xargs -r grep -oE '(^    +|`)(go run )?(\./)?(cmd/)?(jacinthcross|jcbench)( [^`]*)?' |
  sed -E 's#:(    +|`)(go run )?(\./)?(cmd/)?#:#')

if git grep -nIE '/(work|root|home)/[a-z]' -- . ':!scripts/docs.sh' ':!go.sum'; then
  fail "machine path in a committed file"
fi
exit $status
