"""Plots and HTML page of the figures that `tests/measure_multihost.py` measures."""

from pathlib import Path
from typing import Any

from .report_page import Table, plain_table, plot, summary_cell, write_page

STEPS = ("noticed_s", "placed_s", "ready_s", "serving_s")


def _group_samples(samples: list[dict[str, Any]]) -> dict[tuple[str, int], list[dict[str, Any]]]:
    groups: dict[tuple[str, int], list[dict[str, Any]]] = {}
    for sample in samples:
        groups.setdefault((sample["failure"], sample["members"]), []).append(sample)
    return groups


def _recovery_table(figures: dict[str, Any]) -> Table:
    rows = [
        [failure, members, summary_cell(group, "last_answer_s")]
        + [summary_cell(group, step) for step in STEPS]
        for (failure, members), group in _group_samples(figures["loaded"]).items()
    ]
    return Table(
        title=f"Recovery, weights fetched in {figures['load_s']:g} s",
        text=f"Median / 95th percentile / largest. The last answer of the old generation comes "
        f"within {figures['serving_lease_s']:g} s of a member's death (bound); service is back "
        f"within {figures['bound_s']:g} s (bound, for the second of two deaths counted from it and "
        "without back-off).",
        heads=["failure", "members", "last answer", "noticed", "placed", "ready", "serving"],
        rows=rows,
        plot="recovery.svg",
    )


def _baseline_table(figures: dict[str, Any]) -> Table:
    warm, baseline = _group_samples(figures["warm"]), _group_samples(figures["baseline"])
    rows = [
        [
            failure,
            members,
            summary_cell(warm[failure, members], "serving_s"),
            summary_cell(group, "serving_s"),
            summary_cell(warm[failure, members], "wrong_s"),
            summary_cell(group, "wrong_s"),
        ]
        for (failure, members), group in baseline.items()
    ]
    return Table(
        title="Beside members handled as independent tasks",
        text="Weights at hand. Complete again, and how long the front member answered while a "
        "member was missing: now and on the ordinary path, where each member is a task of a "
        "service.",
        heads=[
            "failure",
            "members",
            "back, now",
            "back, baseline",
            "wrong answers, now",
            "wrong answers, baseline",
        ],
        rows=rows,
        plot="baseline.svg",
    )


def _plot_recovery(figures: dict[str, Any], path: Path) -> None:
    groups = _group_samples(figures["loaded"])
    failures = list(dict.fromkeys(f for f, _ in groups))
    sizes = sorted({n for _, n in groups})
    with plot(path, len(failures), 14.0) as axes:
        for axis, failure in zip(axes, failures, strict=True):
            data = [[s["serving_s"] or 0.0 for s in groups[failure, n]] for n in sizes]
            axis.boxplot(data, tick_labels=[str(n) for n in sizes], whis=(0, 100))
            axis.axhline(figures["bound_s"], linestyle="--", linewidth=1)
            axis.set_title(failure, fontsize=9)
            axis.set_xlabel("members")
        axes[0].set_ylabel("seconds until it serves again")
        axes[0].set_ylim(bottom=0)


def _plot_baseline(figures: dict[str, Any], path: Path) -> None:
    with plot(path) as axis:
        for name, samples in (("now", figures["warm"]), ("baseline", figures["baseline"])):
            values = sorted(s["wrong_s"] for s in samples)
            shares = [(i + 1) / len(values) for i in range(len(values))]
            axis.step(values, shares, where="post", label=name)
        axis.set_xlabel("seconds of answers while a member was missing")
        axis.set_ylabel("part of the failures")
        axis.legend()


def write_report(figures: dict[str, Any], out: Path) -> None:
    """Write the plots and the page into the folder of the figures."""
    _plot_recovery(figures, out / "recovery.svg")
    _plot_baseline(figures, out / "baseline.svg")
    tables = [
        _recovery_table(figures),
        _baseline_table(figures),
        plain_table(
            "A large replica among small ones",
            "Six of 16 machines, while pairs come and go each five seconds; idle is the mean part "
            "of the pool without any member, placed 0 means not within 600 s.",
            figures["waiting"],
        ),
        plain_table(
            "Transactions of the pool's owner",
            "Up to serving; 40 members do not fit into one transaction.",
            figures["transactions"],
        ),
        plain_table(
            "Work in a pool where nothing changes",
            "Processor time of one heartbeat and of one round, replicas looked at and machines "
            "weighed in 20 rounds.",
            figures["pools"],
        ),
    ]
    write_page(
        out / "index.html",
        "Multi-machine replicas, measured",
        f"Simulated agents under virtual time, heartbeats each second, {figures['seeds']} drawn "
        "moments for each failure and size. Seconds from the failure (of two, from the first).",
        "tests.measure_multihost",
        tables,
    )
