"""The list of known red tests: what it may hold."""

from pathlib import Path

import pytest

from . import known_red

LINE = "tests/test_x.py::test_y, a cause, with a comma, 13\n"


def test_an_empty_or_absent_list_means_none(tmp_path: Path) -> None:
    path = tmp_path / known_red.FILE
    assert known_red.load(path) == []
    path.write_text("\n")
    assert known_red.load(path) == []
    path.write_text(LINE)
    (entry,) = known_red.load(path)
    assert (entry.test, entry.issue) == ("tests/test_x.py::test_y", "13")
    assert entry.cause == "a cause, with a comma"


@pytest.mark.parametrize("text", [LINE * 4, "tests/test_x.py, cause, 3", "a::b, cause", "a::b,,3"])
def test_too_many_or_malformed_lines_fail_the_run(tmp_path: Path, text: str) -> None:
    path = tmp_path / known_red.FILE
    path.write_text(text)
    with pytest.raises(known_red.KnownRedListError):
        known_red.load(path)
