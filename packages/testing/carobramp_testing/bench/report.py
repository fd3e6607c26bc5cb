"""Prints runs, checks bounds and writes the report."""

import pathlib

from carobramp_testing.bench.run import Run

WIDTH, BAR, GAP, LABEL = 900, 16, 8, 260


def lines_of(run: Run):
    """Return the printed lines of a run."""
    name = f"{run.site} {run.scenario.name} {run.policy} seed {run.seed}"
    tasks = max(1, sum(job.tasks for job in run.result.jobs))
    lines = [
        f"== {name}, {run.seconds:g} s, {len(run.result.jobs)} jobs, {tasks} tasks"
    ]
    for stream in sorted(run.result.ratios):
        result = run.result
        lines.append(
            f"   {stream}: response/ideal mean {result.ratio_mean(stream):.2f}"
            f" median {result.ratio_at(stream, 50):.2f}"
            f" p99 {result.ratio_at(stream, 99):.2f},"
            f" p50 {result.response_at(stream, 50):.0f} ms"
            f" p99 {result.response_at(stream, 99):.0f} ms"
        )
    waste = {kind: round(n / tasks, 5) for kind, n in run.waste.items()}
    lines.append(f"   wasted messages per task {run.values['waste']:.4f} {waste}")
    lines.append(f"   refusals and failures {run.refusals}, guard trips {run.trips}")
    rate = run.starts / max(0.01, run.daemon_cpu_s)
    lines.append(
        f"   {rate:.0f} starts per daemon CPU second, busiest daemon"
        f" {run.busiest_cpu:.0%} of a core, machine {run.machine_busy:.0%} busy"
    )
    lines += [f"   {line}" for line in check_lines(run)]
    return lines


def check_lines(run: Run):
    """Return a line for each bound."""
    lines = []
    for key, bound in run.scenario.bounds.items():
        value = run.values.get(key)
        if value is None:
            continue
        verdict = "ok" if value <= bound else "MISSED"
        lines.append(f"{verdict}: {key} {value:.4g}, bound {bound:g}")
    return lines


def missed(runs):
    """Return the lines of all missed bounds of the default policy."""
    return [
        f"{run.scenario.name}: {line}"
        for run in runs
        if run.policy == "earliest_finish"
        for line in check_lines(run)
        if line.startswith("MISSED")
    ]


def table(runs):
    """Return a Markdown table of the runs."""
    lines = [
        "| scenario | policy | mean | median | p99 | p99 ms | waste/task | refused or"
        " failed | machine | bounds |",
        "|---|---|---|---|---|---|---|---|---|---|",
    ]
    for run in runs:
        values = run.values
        cells = [run.scenario.name, run.policy]
        cells += [f"{values.get(key, 0):.2f}" for key in ("mean", "p50", "p99")]
        cells.append(f"{values.get('p99_ms', 0):.0f}")
        cells.append(f"{values['waste']:.4f}")
        reasons = ", ".join(f"{k} {n}" for k, n in run.refusals.items())
        cells.append(reasons or "0")
        cells.append(f"{run.machine_busy:.0%}")
        cells.append("; ".join(check_lines(run)))
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def write_svg(runs, path):
    """Write bars of the mean ratio of each run."""
    height = (BAR + GAP) * len(runs) + GAP
    top = max(run.values.get("mean", 0) for run in runs) or 1.0
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}"'
        ' font-family="sans-serif" font-size="12">'
    ]
    for row, run in enumerate(runs):
        y = GAP + row * (BAR + GAP)
        mean = run.values.get("mean", 0)
        width = (WIDTH - LABEL - 80) * min(1.0, mean / top)
        name = f"{run.scenario.name} {run.policy}"
        parts.append(f'<text x="4" y="{y + 12}">{name}</text>')
        parts.append(
            f'<rect x="{LABEL}" y="{y}" width="{width:.0f}" height="{BAR}"'
            ' fill="steelblue"/>'
        )
        label_x = LABEL + width + 6
        parts.append(f'<text x="{label_x:.0f}" y="{y + 12}">{mean:.2f}</text>')
    parts.append("</svg>")
    path = pathlib.Path(path)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("\n".join(parts))
