#!/bin/bash
# Shows that an item is abandoned before `maxAttempts` answers of 500. Exit code: 1 the rule was broken, 0 it held, 2 not run.
# TROUBLE=0 runs the same without the disruption. Needs the build of deploy/system.toml and review/build.sh.
set -u
here=$(cd -- "$(dirname -- "${BASH_SOURCE[0]}")" && pwd) || exit 2
root=$(cd -- "$here/../.." && pwd) || exit 2
stand_in=$root/target/review/surplus-failure
for program in "$stand_in" "$root"/target/release/gingerledge-{edge,control,backend}; do
    [ -x "$program" ] || { echo "not built: ${program#"$root"/}" >&2; exit 2; }
done
work=$(mktemp -d) || exit 2
stand_in_id=
end_all() {
    [ -z "$stand_in_id" ] || kill -KILL "$stand_in_id" 2>/dev/null
    if [ -f "$work/process-ids" ]; then
        while read -r id; do kill -KILL "$id" 2>/dev/null; done <"$work/process-ids"
    fi
    rm -rf -- "$work"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP
"$stand_in" "$root/target/release" "$work" "$here/record.txt" "${TROUBLE:-1}" &
stand_in_id=$!
(sleep 110 && kill -KILL "$stand_in_id") >/dev/null 2>&1 &
watchdog_id=$!
wait "$stand_in_id"
result=$?
kill "$watchdog_id" 2>/dev/null
stand_in_id=
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
