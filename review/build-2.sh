#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are Python programs that use
# the standard library alone, so nothing is fetched; they are compiled to show
# that they can be read. Run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for folder in common-2 4 5 6 7 8; do
    [ ! -d "$folder" ] || PYTHONPYCACHEPREFIX=../target/review-2 \
        python3 -m compileall -q -f "$folder"
done
