"""Compare the decisions that two commits make in simulated regions.

A trace holds every message of one controller, in order and with its virtual time. For each
scenario, seed and controller, the digest of the trace is stored. Two commits with equal digests
made the same decisions in these scenarios.

    python -m tests.behavior_trace --check tests/data/behavior_trace.json
    python -m tests.behavior_trace --text DIR
    python -m tests.behavior_trace --difference DIR DIR

The seed determines which faults occur and when. Only tests/trace_adapter.py, trace_messages.py
and trace_determinism.py depend on the code under test.
"""

import argparse
import os
import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import orjson

from .trace_adapter import CONTROLLERS
from .trace_comparison import digest_differences, first_difference
from .trace_recorder import Entry, TraceKey, TraceRecorder, digest
from .trace_scenarios import SCENARIOS

HASH_SEED = "0"


def record_traces(scenario: str, seed: int, counts: Counter[str]) -> dict[TraceKey, list[str]]:
    """Run a scenario and return the lines of each controller's trace."""
    recorder = TraceRecorder()
    SCENARIOS[scenario].play(recorder, counts, seed)
    return {TraceKey(scenario, seed, label): recorder.lines(label) for label in CONTROLLERS}


def _argument_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m tests.behavior_trace", description=__doc__)
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.add_argument(
        "--seeds", type=int, nargs="+", help="seeds to use instead of each scenario's own"
    )
    parser.add_argument("--scenario", choices=SCENARIOS, nargs="+", default=list(SCENARIOS))
    parser.add_argument(
        "--text", type=Path, metavar="DIR", help="write the full traces to this folder"
    )
    parser.add_argument("--check", type=Path, metavar="FILE", help="compare with stored digests")
    parser.add_argument("--write", type=Path, metavar="FILE", help="store the digests")
    parser.add_argument(
        "--counts", action="store_true", help="print how often each kind of event occurred"
    )
    parser.add_argument(
        "--difference",
        type=Path,
        nargs=2,
        metavar="DIR",
        help="print the first difference between two folders written with --text",
    )
    return parser


def _print_difference(before: Path, after: Path) -> int:
    difference = first_difference(before, after)
    if difference is None:
        print("no difference")
        return 0
    print(f"{difference.file}, line {difference.line}")
    print(f"< {difference.before}")
    print(f"> {difference.after}")
    return 1


def _read_digests(path: Path) -> dict[str, Entry]:
    rows = orjson.loads(path.read_bytes())
    return {key: Entry(row["digest"], row["messages"]) for key, row in rows.items()}


def _write_digests(path: Path, recorded: dict[str, Entry]) -> None:
    rows = {key: entry._asdict() for key, entry in recorded.items()}
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))


def _write_trace(folder: Path, key: TraceKey, lines: Sequence[str]) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{key}.txt").write_text("\n".join(lines) + "\n")


def _record_all(args: argparse.Namespace, counts: Counter[str]) -> dict[str, Entry]:
    recorded: dict[str, Entry] = {}
    for scenario in args.scenario:
        for seed in args.seeds or SCENARIOS[scenario].seeds:
            for key, lines in record_traces(scenario, seed, counts).items():
                entry = recorded[str(key)] = Entry(digest(lines), len(lines))
                print(f"{key} {entry.digest} {entry.messages}", flush=True)
                if args.text is not None:
                    _write_trace(args.text, key, lines)
    return recorded


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command and return its exit code."""
    args = _argument_parser().parse_args(argv)
    if args.difference is not None:
        return _print_difference(*args.difference)
    counts: Counter[str] = Counter()
    recorded = _record_all(args, counts)
    if args.counts:
        for name, number in sorted(counts.items()):
            print(f"{number:8d} {name}")
    if args.write is not None:
        _write_digests(args.write, recorded)
    differences = (
        list(digest_differences(_read_digests(args.check), recorded))
        if args.check is not None
        else []
    )
    for difference in differences:
        print(f"DIFFERS {difference}")
    return 1 if differences else 0


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        os.environ["PYTHONHASHSEED"] = HASH_SEED
        os.execv(sys.executable, [sys.executable, "-m", "tests.behavior_trace", *sys.argv[1:]])
    sys.exit(main())
