#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review.
# Run it after the build command of deploy/system.toml, whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review/carobramp_testing/standins
cp packages/testing/carobramp_testing/__init__.py packages/testing/carobramp_testing/relay.py target/review/carobramp_testing/
cp packages/testing/carobramp_testing/standins/__init__.py target/review/carobramp_testing/standins/
cp -r packages/testing/carobramp_testing/standins/leased target/review/carobramp_testing/standins/
cp review/standins/*.py target/review/
PYTHONPATH=target/deps:target/review python3 -m compileall -q target/review
PYTHONPATH=target/deps:target/review python3 -c "import harness"
