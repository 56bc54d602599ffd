#!/bin/sh
# Installs the pinned libraries of the running system into a folder and compiles the sources.
#
# Usage: sh deploy/build.sh FOLDER, in the root of the repository. A folder that is up to date stays
# as it is; one that was made on another kind of machine, or with another Python, is made anew.
set -eu

folder=$1
marker=$folder/.binary-interface
binary_interface=$(python3 -c 'import sysconfig; print(sysconfig.get_config_var("SOABI"))')

if [ -d "$folder" ] && [ "$(cat "$marker" 2>/dev/null)" != "$binary_interface" ]; then
    echo "$folder is incomplete or of another kind of machine: making it anew for $binary_interface"
    rm -rf "$folder"
fi
if [ ! "$marker" -nt requirements/runtime.txt ]; then
    python3 -m pip install -q --disable-pip-version-check --require-hashes --no-deps -U \
        --target "$folder" -r requirements/runtime.txt
    echo "$binary_interface" > "$marker"
fi
python3 -m compileall -q --invalidation-mode checked-hash hopstep
