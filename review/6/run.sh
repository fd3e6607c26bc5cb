#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps python3 -c "import sys; sys.path.insert(0, 'target/review-2'); import deployment" || exit 2
PYTHONPATH=target/deps exec python3 review/6/play.py
