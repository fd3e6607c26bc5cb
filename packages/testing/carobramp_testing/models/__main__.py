"""Runs all model specifications."""

import importlib
import sys

from carobramp_testing.models import MODULES


def main() -> int:
    """Run the specifications of each module; 0 when all is as it should be."""
    results = [importlib.import_module(module).main() for module in MODULES]
    return 0 if not any(results) else 1


if __name__ == "__main__":
    sys.exit(main())
