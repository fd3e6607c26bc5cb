"""Reads the text exposition format of `/metrics`."""

import collections
import re

SAMPLE = re.compile(
    r"^(?P<name>[a-zA-Z_:][a-zA-Z0-9_:]*)"
    r'(?:\{(?P<labels>(?:[^"}]|"(?:[^"\\]|\\.)*")*)\})? (?P<value>\S+)$'
)
LABEL = re.compile(r'([a-zA-Z_][a-zA-Z0-9_]*)="((?:[^"\\]|\\.)*)"')


def read_samples(text):
    """Return the samples as {name: {kind: value}}; no kind gives ``""``.

    Examples
    ========

    >>> read_samples('# TYPE a counter\\na{kind="x"} 2\\na{kind="y"} 0\\n')
    {'a': {'x': 2.0, 'y': 0.0}}
    """
    samples: dict[str, dict[str, float]] = collections.defaultdict(dict)
    for line in text.splitlines():
        if not line or line.startswith("#"):
            continue
        match = SAMPLE.match(line)
        if match is None:
            raise ValueError(f"not a sample: {line}")
        labels = dict(LABEL.findall(match["labels"] or ""))
        samples[match["name"]][labels.get("kind", "")] = float(match["value"])
    return dict(samples)


def sum_samples(texts, name):
    """Return the sums by kind of one metric over several processes."""
    total: collections.Counter[str] = collections.Counter()
    for text in texts:
        for kind, value in read_samples(text).get(name, {}).items():
            total[kind] += value
    return {kind: round(value) for kind, value in total.items()}
