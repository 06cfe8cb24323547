"""Summaries, tables, plots and HTML pages for reports on measurements.

The measurements of recovery and of multi-machine replicas use it. It needs the packages in
requirements-measure.txt.
"""

import statistics
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

import matplotlib

matplotlib.use("svg")

import matplotlib.pyplot as plt
from jinja2 import Environment

P95 = 0.95

PAGE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{ title }}</title>
<style>body{font:15px/1.5 sans-serif;max-width:60em;margin:2em auto}
table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}
th:first-child,td:first-child{text-align:left}img{max-width:100%}</style>
<h1>{{ title }}</h1>
<p>{{ text }} Made by <code>python -m {{ module }}</code>.</p>
{% for table in tables %}
<h2>{{ table.title }}</h2><p>{{ table.text }}</p>
<table><tr>{% for head in table.heads %}<th>{{ head }}</th>{% endfor %}</tr>
{% for row in table.rows %}<tr>{% for cell in row %}<td>{{ cell }}</td>{% endfor %}</tr>
{% endfor %}</table>
{% if table.plot %}<p><img src="{{ table.plot }}" alt="{{ table.title }}"></p>{% endif %}
{% endfor %}
</html>
"""


class Table(NamedTuple):
    """A table of the page; `plot` is the file name of the plot below it, empty if there is none."""

    title: str
    text: str
    heads: Sequence[str]
    rows: Sequence[Sequence[object]]
    plot: str = ""


def summary(values: Sequence[float]) -> dict[str, float]:
    """Return the median, the 95th percentile and the largest value."""
    ordered = sorted(values)
    p95 = ordered[min(len(ordered) - 1, int(P95 * len(ordered)))]
    return {
        "median": round(statistics.median(ordered), 2),
        "p95": round(p95, 2),
        "largest": round(ordered[-1], 2),
    }


def summary_cell(samples: Sequence[Mapping[str, Any]], field: str) -> str:
    """Return a table cell with the summary of a field; None in a sample is a missing value."""
    values = [s[field] for s in samples if s[field] is not None]
    if not values:
        return "none"
    figures = summary(values)
    missing = len(samples) - len(values)
    note = f" ({missing} did not come)" if missing else ""
    return f"{figures['median']} / {figures['p95']} / {figures['largest']}{note}"


def plain_table(title: str, text: str, rows: Sequence[Mapping[str, Any]]) -> Table:
    """Return a table with a column for each field of the rows."""
    heads = list(rows[0])
    return Table(title, text, heads, [[row[h] for h in heads] for row in rows])


@contextmanager
def plot(path: Path, columns: int = 1, width: float = 7.0) -> Iterator[Any]:
    """Yield the axes of a plot, and write the plot to the file afterwards.

    The file's content depends only on the figures, so that a repeated run writes the same file.
    """
    plt.rcParams["svg.hashsalt"] = "crossmill"
    figure, axes = plt.subplots(1, columns, figsize=(width, 3.6), sharey=True)
    yield axes
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    plt.close(figure)


def write_page(path: Path, title: str, text: str, module: str, tables: Sequence[Table]) -> None:
    """Write the page; `module` is the module that was run to make it."""
    template = Environment(autoescape=True).from_string(PAGE)
    path.write_text(template.render(title=title, text=text, module=module, tables=tables))
