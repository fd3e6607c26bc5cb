#!/bin/sh
# Checks the stand-in and the cases of this review; they are plain Python and use only
# what the build of the deploy file has put into target/deps.
here=$(cd "$(dirname "$0")" && pwd) || exit 1
root=$here/..
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH="$here/standins-3:$root/target/deps"
python3 -S -c "import platform3" || exit 1
for case in "$here"/1[1-5]/case.py; do
    [ -f "$case" ] || continue
    python3 -S -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$case" || exit 1
done
echo "stand-ins of review 3 are ready"
