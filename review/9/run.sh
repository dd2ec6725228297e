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
  [ -n "$child" ] && kill "$child" 2>/dev/null
  # Instances that the stand-ins left running.
  for pid in $(cat "$folder/pids" 2>/dev/null); do
    grep -qs "medlarlanding.forward" "/proc/$pid/cmdline" && kill -KILL "$pid" 2>/dev/null
  done
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
"$standins" stop-streams "$program" "$folder" "$PWD/review/9/record.txt" &
child=$!
(sleep 115; kill "$child" 2>/dev/null) > /dev/null 2>&1 &
guard=$!
wait "$child"
code=$?
child=
kill "$guard" 2>/dev/null
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
