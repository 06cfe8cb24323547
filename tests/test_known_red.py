"""KNOWN-RED.txt: the form of its entries, and how the test command runs the listed tests."""

from pathlib import Path

import pytest

from . import known_red
from .__main__ import ROOT, run_tests

TEST = "test: tests/test_x.py::test_y[3]\n"
COMMAND = "command: python -m tests.behavior_trace --seed 3\n"
SEEN = "seen: a task ran twice, on m-1, and on m-2: for 3 s\n"
ISSUE = "issue: 13\n"
ENTRY = TEST + COMMAND + SEEN + ISSUE


def _load(folder: Path, text: str) -> list[known_red.Entry]:
    path = folder / known_red.FILE
    path.write_text(text)
    return known_red.load(path)


def test_an_empty_or_absent_list_means_none(tmp_path: Path) -> None:
    assert known_red.load(tmp_path / known_red.FILE) == []
    assert _load(tmp_path, "") == []
    assert _load(tmp_path, "\n") == []


def test_values_may_contain_commas_and_colons(tmp_path: Path) -> None:
    assert _load(tmp_path, ENTRY) == [
        known_red.Entry(
            test="tests/test_x.py::test_y[3]",
            command="python -m tests.behavior_trace --seed 3",
            seen="a task ran twice, on m-1, and on m-2: for 3 s",
            issue="13",
        )
    ]


def test_entries_are_separated_by_blank_lines_and_not_limited_in_number(tmp_path: Path) -> None:
    entries = [ENTRY.replace("[3]", f"[{number}]") for number in range(5)]
    loaded = _load(tmp_path, "\n" + "\n \n".join(entries) + "\n")
    assert [entry.test for entry in loaded] == [f"tests/test_x.py::test_y[{n}]" for n in range(5)]


LONGEST_SEEN = "seen: " + "x" * (known_red.MAX_LINE_LENGTH - len("seen: ")) + "\n"


def test_a_line_may_have_the_maximum_length(tmp_path: Path) -> None:
    assert len(_load(tmp_path, TEST + COMMAND + LONGEST_SEEN + ISSUE)) == 1


@pytest.mark.parametrize(
    ("text", "field"),
    [
        pytest.param(COMMAND + SEEN + ISSUE, "test", id="no test"),
        pytest.param(TEST + SEEN + ISSUE, "command", id="no command"),
        pytest.param(TEST + COMMAND + ISSUE, "seen", id="no observed failure"),
        pytest.param(TEST + COMMAND + SEEN, "issue", id="no issue"),
        pytest.param("test:\n" + COMMAND + SEEN + ISSUE, "test", id="empty test"),
        pytest.param(TEST + "command: \n" + SEEN + ISSUE, "command", id="empty command"),
        pytest.param(TEST + COMMAND + "seen:  \n" + ISSUE, "seen", id="empty observed failure"),
        pytest.param(TEST + COMMAND + SEEN + "issue: \n", "issue", id="empty issue"),
        pytest.param("test: tests/test_x.py\n" + COMMAND + SEEN + ISSUE, "test", id="whole file"),
        pytest.param("test: tests/test_x.py::\n" + COMMAND + SEEN + ISSUE, "test", id="no name"),
        pytest.param("test: -k.py::test_y\n" + COMMAND + SEEN + ISSUE, "test", id="an option"),
        pytest.param("test: a test::b\n" + COMMAND + SEEN + ISSUE, "test", id="no Python file"),
        pytest.param(TEST + COMMAND + SEEN + "issue: soon\n", "issue", id="issue in words"),
        pytest.param(TEST + COMMAND + SEEN + "issue: #13\n", "issue", id="issue with a sign"),
        pytest.param(TEST + COMMAND + SEEN + "issue: 0\n", "issue", id="issue zero"),
        pytest.param(TEST + COMMAND + SEEN + "issue: 13, 14\n", "issue", id="two issues"),
        pytest.param(ENTRY + "cause: unknown\n", "'cause'", id="unknown key"),
        pytest.param(ENTRY + "a remark\n", "'a remark'", id="no key"),
        pytest.param(ENTRY + " issue: 14\n", "' issue'", id="indented key"),
        pytest.param("tests/test_x.py::test_y, a cause, 13\n", "'tests/test_x.py'", id="old form"),
        pytest.param(ENTRY + SEEN, "seen", id="repeated key"),
        pytest.param(ENTRY + ENTRY, "test", id="no blank line between entries"),
        pytest.param(
            TEST + COMMAND + "seen: x" + LONGEST_SEEN[6:] + ISSUE, "seen", id="line too long"
        ),
    ],
)
def test_a_malformed_entry_is_rejected_with_its_number_and_field(
    tmp_path: Path, text: str, field: str
) -> None:
    first = ENTRY.replace("[3]", "[1]")
    with pytest.raises(known_red.KnownRedListError) as caught:
        _load(tmp_path, f"{first}\n{text}")
    assert str(caught.value).startswith(f"{known_red.FILE}: entry 2: {field}: ")


def test_a_test_may_be_listed_only_once(tmp_path: Path) -> None:
    again = ENTRY.replace("13", "14")
    with pytest.raises(
        known_red.KnownRedListError, match=r"KNOWN-RED\.txt: entry 2: test: .*twice"
    ):
        _load(tmp_path, f"{ENTRY}\n{again}")


FAILING = "def test_red():\n    assert 0\n"
# its name starts with the name of the failing test
PASSING = "def test_red_not():\n    pass\n"
UNRELATED = "def test_green():\n    pass\n"


@pytest.fixture
def project(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Return a folder with one failing and two passing tests, where pytest finds the plugin."""
    monkeypatch.setenv("PYTHONPATH", str(ROOT))
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    (tmp_path / "test_x.py").write_text(FAILING + PASSING + UNRELATED)
    return tmp_path


def _list(project: Path, *tests: str) -> None:
    entries = [f"test: {test}\n{COMMAND}{SEEN}{ISSUE}" for test in tests]
    (project / known_red.FILE).write_text("\n".join(entries))


def test_a_failing_test_that_is_not_listed_fails_the_run(project: Path) -> None:
    assert run_tests(project) == 1


def test_only_the_listed_test_is_deselected_and_it_is_run_and_printed(
    project: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    _list(project, "test_x.py::test_red")
    assert run_tests(project) == 0
    all_tests, listed_test = capfd.readouterr().out.split("known red: test_x.py::test_red\n")
    assert "2 passed, 1 deselected" in all_tests
    assert listed_test.startswith(f"  {COMMAND}  {SEEN}  {ISSUE}")
    assert "1 failed" in listed_test


def test_a_failing_test_whose_name_starts_with_a_listed_one_fails_the_run(project: Path) -> None:
    (project / "test_x.py").write_text(FAILING + PASSING.replace("pass", "assert 0"))
    _list(project, "test_x.py::test_red")
    assert run_tests(project) == 1


@pytest.mark.parametrize("test", ["test_x.py::test_red_not", "test_x.py::test_z", "z.py::test_z"])
def test_a_listed_test_that_passes_or_does_not_exist_fails_the_run(
    project: Path, test: str, capfd: pytest.CaptureFixture[str]
) -> None:
    _list(project, "test_x.py::test_red", test)
    assert run_tests(project) == 1
    assert f"{known_red.FILE}: {test} does not fail as listed" in capfd.readouterr().out


def test_a_malformed_list_fails_the_run_before_any_test(
    project: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    (project / known_red.FILE).write_text(TEST)
    assert run_tests(project) == 1
    assert capfd.readouterr().out == f"{known_red.FILE}: entry 1: command: missing or empty\n"
