#!/usr/bin/env bash
# Lays what the bench looks for beside our own deployments: the names on the sockets (real.json), the wire of the adapter
# (wire.json) and the recorded troubles (unlock.txt). They stay in the kit's hands: git ignores them here.
#   deploy/sites/lay.sh KIT      KIT is the kit's folder, the one that holds `sites`
set -euo pipefail
kit=${1:?usage: deploy/sites/lay.sh KIT (the folder that holds the directory sites)}
here=$(cd "$(dirname "$0")" && pwd)
for name in real.json wire.json unlock.txt; do
    if [ ! -r "$kit/sites/$name" ]; then
        echo "$kit/sites/$name: can't be read; name the kit's folder" >&2
        exit 1
    fi
done
for name in real.json wire.json unlock.txt; do
    install -m 644 "$kit/sites/$name" "$here/$name"
done
