#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python and need only the libraries
# of target/deps, which the deploy file's build has put there.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import aiohttp"
rm -rf target/review-2
mkdir -p target/review-2
cp review/standins-2/*.py target/review-2/
PYTHONPATH=target/deps python3 -m compileall -q target/review-2
