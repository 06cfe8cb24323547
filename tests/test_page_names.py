"""Tests that the code names on the documentation pages exist, so that no rename misses a page."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PAGES = ("README.md", "CONTRIBUTING.md", "docs/*.md", "docs/incidents/*.md")
CODE_SPAN = re.compile(r"`([^`\n]+)`")
# a path of a Python file, or an identifier
NAME = re.compile(r"[\w/.]+\.py\b|\w+")
MEMBER = re.compile(r"\b([A-Z]\w*[a-z]\w*)\.(\w+)")
CAPITALIZED = re.compile(r"[A-Z]+[a-z]\w*")
# fields of the users' bench and of the settings that the code does not read, the words of an HTTP
# header, and a suffix that CONTRIBUTING.md asks for
EXTERNAL_NAMES = {
    "Error",
    "Retry",
    "After",
    "cpu_share",
    "gang_peer_s",
    "gang_wait_s",
    "late_reports",
    "late_writes",
    "machine_deaf",
    "machine_mute",
    "memory_mb",
    "other_status",
}


def _python_files() -> list[Path]:
    return [*ROOT.glob("crossmill/**/*.py"), *ROOT.glob("tests/**/*.py"), ROOT / "run.py"]


def _docstrings(tree: ast.Module) -> set[int]:
    """Return the identities of the constants that are statements of their own."""
    return {
        id(node.value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    }


def _code_words(source: str) -> set[str]:
    """Return the identifiers of a module and the words of its strings, without docstrings."""
    tree = ast.parse(source)
    docstrings = _docstrings(tree)
    words: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant):
            if id(node) not in docstrings and isinstance(node.value, str):
                words.update(re.findall(r"\w+", node.value))
            continue
        for _, value in ast.iter_fields(node):
            names = value if isinstance(value, list) else [value]
            words.update(
                word for name in names if isinstance(name, str) for word in name.split(".")
            )
    return words


def _known_words() -> set[str]:
    words = set(EXTERNAL_NAMES)
    for path in _python_files():
        if path == Path(__file__).resolve():
            # this module contains invented names
            continue
        words |= _code_words(path.read_text()) | {path.stem, path.parent.name}
    for path in [*ROOT.glob("deploy/*.toml"), ROOT / "pyproject.toml"]:
        words.update(re.findall(r"\w+", path.read_text()))
    return words


def _member_names(class_node: ast.ClassDef) -> set[str]:
    """Return the names of a class's methods and attributes, including those set on `self`."""
    names: set[str] = set()
    for node in ast.walk(class_node):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            names.add(node.name)
        elif isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store):
            names.add(node.attr)
        elif isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store):
            names.add(node.id)
    return names


def _members_by_class() -> dict[str, set[str]]:
    """Return the member names of each class of the program, with those of its base classes."""
    nodes = [
        node
        for path in ROOT.glob("crossmill/**/*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.ClassDef)
    ]
    members: dict[str, set[str]] = {}
    for node in nodes:
        members.setdefault(node.name, set()).update(_member_names(node))
    for node in nodes:
        for base in node.bases:
            members[node.name] |= members.get(ast.unparse(base), set())
    return members


def _unknown_members(page: str, members: dict[str, set[str]]) -> list[str]:
    """Return each `Class.member` of a page whose class exists without this member."""
    return [
        f"{class_name}.{name}"
        for span in CODE_SPAN.findall(page)
        for class_name, name in MEMBER.findall(span)
        if class_name in members and name not in members[class_name]
    ]


def _unknown_names(page: str, words: set[str]) -> list[str]:
    """Return the code names of a page that neither a file nor a word of the code has."""
    files = [f"/{path.relative_to(ROOT)}" for path in _python_files()]
    names = [name for span in CODE_SPAN.findall(page) for name in NAME.findall(span)]
    unknown = []
    for name in names:
        if name.endswith(".py"):
            is_known = any(file.endswith(f"/{name}") for file in files)
        else:
            is_code_name = "_" in name.strip("_") or CAPITALIZED.fullmatch(name) is not None
            is_known = not is_code_name or name in words
        if not is_known:
            unknown.append(name)
    return unknown


@pytest.fixture(scope="module")
def words() -> set[str]:
    """Return the words that a page may name."""
    return _known_words()


@pytest.mark.parametrize("pages", PAGES)
def test_the_names_on_the_pages_exist_in_the_code(pages: str, words: set[str]) -> None:
    paths = sorted(ROOT.glob(pages))
    assert paths
    unknown = {
        str(path.relative_to(ROOT)): names
        for path in paths
        if (names := _unknown_names(path.read_text(), words))
    }
    assert unknown == {}


@pytest.mark.parametrize("pages", PAGES)
def test_the_members_of_classes_on_the_pages_exist(pages: str) -> None:
    members = _members_by_class()
    unknown = {
        str(path.relative_to(ROOT)): names
        for path in ROOT.glob(pages)
        if (names := _unknown_members(path.read_text(), members))
    }
    assert unknown == {}


def test_a_member_that_its_class_does_not_have_is_found() -> None:
    page = "see `Membership.run`, `Membership.no_such_method` and `Unrelated.no_such_method`"
    assert _unknown_members(page, _members_by_class()) == ["Membership.no_such_method"]


@pytest.mark.parametrize(
    "name", ["no_such_method", "NoSuchClass.load", "NO_SUCH_CONSTANT", "wire/no_such_file.py"]
)
def test_a_name_that_the_code_does_not_have_is_found(name: str, words: set[str]) -> None:
    assert len(_unknown_names(f"see `{name}` and `Membership`", words)) == 1


def test_words_of_docstrings_and_comments_do_not_count_as_code() -> None:
    source = '"""About gone_one."""\n# gone_two\nkept_one = "kept_two"\n'
    assert _code_words(source) == {"kept_one", "kept_two"}
