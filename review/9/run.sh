#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/release/medlarlanding
standins=target/review-2/standins-3
[ -x "$program" ] && [ -x "$standins" ] || { echo "build $program and $standins first"; exit 2; }
folder=$(mktemp -d) || exit 2
child=
finish() {
  if [ -n "$child" ]; then
    kill "$child" 2>/dev/null
    wait "$child" 2>/dev/null
  fi
  # Instances that the stand-ins left running.
  for pid in $(cat "$folder/pids" 2>/dev/null); do
    [ -r "/proc/$pid/cmdline" ] || continue
    case "$(tr '\0' ' ' < "/proc/$pid/cmdline")" in
      *"medlarlanding forward"*) kill -KILL "$pid" ;;
    esac
  done
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout -k 2 112 "$standins" stop-streams "$program" "$folder" "$PWD/review/9/record.txt" &
child=$!
wait "$child"
code=$?
child=
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
