"""Parsing of the list of known failures and its effect on test outcomes."""

import pathlib

import pytest

from tests.common import known_red

LINE = "tests/x.py::test_y | make test, no seed | the cause | issue 4\n"


def test_a_missing_file_is_an_empty_list(tmp_path: pathlib.Path) -> None:
    assert known_red.read(tmp_path / "none") == {}


def test_a_line_has_four_fields(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(LINE)
    assert known_red.read(path) == {"tests/x.py::test_y": "the cause (issue 4)"}


def test_the_number_of_lines_is_not_limited(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("".join(LINE.replace("_y", f"_{n}") for n in range(5)))
    assert len(known_red.read(path)) == 5


@pytest.mark.parametrize(
    "text",
    [
        LINE * 2,
        "tests/x.py::test_y\n",
        "a | b\n",
        "a | b | issue 4\n",
        "a | b |  | issue 4\n",
        "a | b | c | d | issue 4\n",
        "# a comment\n",
    ],
)
def test_a_malformed_or_repeated_line_is_an_error(
    tmp_path: pathlib.Path, text: str
) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(text)
    with pytest.raises(ValueError, match="KNOWN-RED"):
        known_red.read(path)


def test_a_listed_test_that_passes_fails_the_run(
    pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch
) -> None:
    root = pathlib.Path(__file__).parents[2]
    pytester.makeconftest((root / "tests" / "conftest.py").read_text())
    monkeypatch.setenv("PYTHONPATH", str(root))
    # conftest.py reads the list from the parent folder of the tests.
    listed = pytester.path.parent / "KNOWN-RED.txt"
    listed.write_text("test_it.py::test_fine | pytest | no cause | issue 0\n")
    pytester.makepyfile(test_it="def test_fine():\n    pass\n")
    result = pytester.runpytest_subprocess("-p", "no:cacheprovider")
    listed.unlink()
    result.assert_outcomes(failed=1)


# Guards against an entry that names no test, in a run of some of the files.
@pytest.mark.parametrize("named", ["test_it.py::test_gone", "test_gone.py::test_fine"])
def test_a_listed_test_that_does_not_exist_fails_the_run(
    pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch, named: str
) -> None:
    root = pathlib.Path(__file__).parents[2]
    folder = pytester.mkdir("tests")
    (folder / "conftest.py").write_text((root / "tests" / "conftest.py").read_text())
    (folder / "test_it.py").write_text("def test_fine():\n    pass\n")
    (pytester.path / "KNOWN-RED.txt").write_text(f"tests/{named} | x | x | issue 0\n")
    monkeypatch.setenv("PYTHONPATH", str(root))
    result = pytester.runpytest_subprocess("-p", "no:cacheprovider", "tests")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["*names unknown tests*"])
