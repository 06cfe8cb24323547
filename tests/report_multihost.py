"""Plots and an HTML page from the figures of `tests/measure_multihost.py`."""

import statistics
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")

import matplotlib.pyplot as plt
from jinja2 import Environment

STEPS = ("noticed_s", "placed_s", "ready_s", "serving_s")

PAGE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Multi-machine replicas, measured</title>
<style>body{font:15px/1.5 sans-serif;max-width:60em;margin:2em auto}
table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}
th:first-child,td:first-child{text-align:left}img{max-width:100%}</style>
<h1>Multi-machine replicas, measured</h1>
<p>Stand-in agents under virtual time, heartbeats each second, {{ figures.seeds }} drawn moments for
each failure and size; made by <code>python -m tests.measure_multihost</code>. Seconds from the
failure (of two, from the first).</p>
{% for table in tables %}
<h2>{{ table.title }}</h2><p>{{ table.text }}</p>
<table><tr>{% for head in table.heads %}<th>{{ head }}</th>{% endfor %}</tr>
{% for row in table.rows %}<tr>{% for cell in row %}<td>{{ cell }}</td>{% endfor %}</tr>
{% endfor %}</table>
{% if table.plot %}<p><img src="{{ table.plot }}" alt="{{ table.title }}"></p>{% endif %}
{% endfor %}
</html>
"""


def summary(values: list[float]) -> dict[str, float]:
    """Median, a high quantile and the largest."""
    ordered = sorted(values)
    high = ordered[min(len(ordered) - 1, int(0.95 * len(ordered)))]
    return {
        "median": round(statistics.median(ordered), 2),
        "p95": round(high, 2),
        "largest": round(ordered[-1], 2),
    }


def _groups(samples: list[dict[str, Any]]) -> dict[tuple[str, int], list[dict[str, Any]]]:
    groups: dict[tuple[str, int], list[dict[str, Any]]] = {}
    for sample in samples:
        groups.setdefault((sample["failure"], sample["members"]), []).append(sample)
    return groups


def _spread(samples: list[dict[str, Any]], field: str) -> str:
    values = [s[field] for s in samples if s[field] is not None]
    if not values:
        return "none"
    s = summary(values)
    missing = len(samples) - len(values)
    lacking = f" ({missing} did not come)" if missing else ""
    return f"{s['median']} / {s['p95']} / {s['largest']}{lacking}"


def _recovery_table(figures: dict[str, Any]) -> dict[str, Any]:
    rows = [
        [failure, members, _spread(group, "last_answer_s")]
        + [_spread(group, step) for step in STEPS]
        for (failure, members), group in _groups(figures["loaded"]).items()
    ]
    return {
        "title": f"Recovery, weights fetched in {figures['load_s']:g} s",
        "text": f"Median / 95th percentile / largest. The last answer of the old generation comes "
        f"within {figures['serving_lease_s']:g} s of a member's death (bound); service is back "
        f"within {figures['bound_s']:g} s (bound, for the second of two deaths counted from it and "
        "without back-off).",
        "heads": ["failure", "members", "last answer", "noticed", "placed", "ready", "serving"],
        "rows": rows,
        "plot": "recovery.svg",
    }


def _baseline_table(figures: dict[str, Any]) -> dict[str, Any]:
    warm, baseline = _groups(figures["warm"]), _groups(figures["baseline"])
    rows = [
        [
            failure,
            members,
            _spread(warm[failure, members], "serving_s"),
            _spread(group, "serving_s"),
            _spread(warm[failure, members], "wrong_s"),
            _spread(group, "wrong_s"),
        ]
        for (failure, members), group in baseline.items()
    ]
    return {
        "title": "Beside members handled as independent tasks",
        "text": "Weights at hand. Complete again, and how long the front member answered while a "
        "member was missing: now and on the ordinary path, where each member is a task of a "
        "service.",
        "heads": [
            "failure",
            "members",
            "back, now",
            "back, baseline",
            "wrong answers, now",
            "wrong answers, baseline",
        ],
        "rows": rows,
        "plot": "baseline.svg",
    }


def _plain_table(title: str, text: str, rows: list[dict[str, Any]]) -> dict[str, Any]:
    heads = list(rows[0])
    return {
        "title": title,
        "text": text,
        "heads": heads,
        "rows": [[row[h] for h in heads] for row in rows],
        "plot": "",
    }


def _plot_recovery(figures: dict[str, Any], path: Path) -> None:
    groups = _groups(figures["loaded"])
    failures = list(dict.fromkeys(f for f, _ in groups))
    sizes = sorted({n for _, n in groups})
    figure, axes = plt.subplots(1, len(failures), figsize=(14, 3.6), sharey=True)
    for axis, failure in zip(axes, failures, strict=True):
        data = [[s["serving_s"] or 0.0 for s in groups[failure, n]] for n in sizes]
        axis.boxplot(data, tick_labels=[str(n) for n in sizes], whis=(0, 100))
        axis.axhline(figures["bound_s"], linestyle="--", linewidth=1)
        axis.set_title(failure, fontsize=9)
        axis.set_xlabel("members")
    axes[0].set_ylabel("seconds until it serves again")
    axes[0].set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)


def _plot_baseline(figures: dict[str, Any], path: Path) -> None:
    figure, axis = plt.subplots(figsize=(7, 3.6))
    for name, samples in (("now", figures["warm"]), ("baseline", figures["baseline"])):
        values = sorted(s["wrong_s"] for s in samples)
        parts = [(i + 1) / len(values) for i in range(len(values))]
        axis.step(values, parts, where="post", label=name)
    axis.set_xlabel("seconds of answers while a member was missing")
    axis.set_ylabel("part of the failures")
    axis.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)


def write_report(figures: dict[str, Any], out: Path) -> None:
    """Writes plots and the page beside the figures."""
    plt.rcParams["svg.hashsalt"] = "crossmill"
    _plot_recovery(figures, out / "recovery.svg")
    _plot_baseline(figures, out / "baseline.svg")
    tables = [
        _recovery_table(figures),
        _baseline_table(figures),
        _plain_table(
            "A large replica among small ones",
            "Six of 16 machines, while pairs come and go each five seconds; idle is the mean part "
            "of the pool without any member, placed 0 means not within 600 s.",
            figures["waiting"],
        ),
        _plain_table(
            "Transactions of the pool's owner",
            "Up to serving; 40 members do not fit into one transaction.",
            figures["transactions"],
        ),
        _plain_table(
            "Work in a pool where nothing changes",
            "Processor time of one heartbeat and of one round, replicas looked at and machines "
            "weighed in 20 rounds.",
            figures["pools"],
        ),
    ]
    page = Environment(autoescape=True).from_string(PAGE).render(figures=figures, tables=tables)
    (out / "index.html").write_text(page)
