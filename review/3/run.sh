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
timeout_id=
end_all() {
    if [ -n "$timeout_id" ]; then
        kill -TERM "$timeout_id" 2>/dev/null
        wait "$timeout_id" 2>/dev/null
    fi
    # The stand-in ends its processes itself and then removes the list; it is left only if the stand-in was killed.
    if [ -f "$work/process-ids" ]; then
        while read -r id; do kill -KILL "$id" 2>/dev/null; done <"$work/process-ids"
    fi
    rm -rf -- "$work" 2>/dev/null || { sleep 0.5; rm -rf -- "$work"; }
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP
timeout --kill-after=1 110 "$stand_in" "$root/target/release" "$work" "$here/record.txt" "${TROUBLE:-1}" &
timeout_id=$!
wait "$timeout_id"
result=$?
timeout_id=
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
