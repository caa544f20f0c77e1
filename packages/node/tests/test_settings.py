"""Tests of the settings module."""

import pathlib

import pytest

from trefoilroad_core import errors
from trefoilroad_node import settings

ROOT = pathlib.Path(__file__).resolve().parents[3]

MINIMAL = """
[node]
id = "n1"
region = "r"
failure_domain = "a"
listen = "127.0.0.1:0"
link = "127.0.0.1:0"
link_secret = "0123456789abcdef"
[store]
address = "127.0.0.1:8080"
"""


@pytest.mark.parametrize("name", ["nkabom", "kalahari"])
def test_example_is_valid(name):
    """Guards against examples that the daemon rejects."""
    path = ROOT / "examples" / name / "node.toml"
    assert settings.read_settings(path).peers


def test_defaults_are_filled_in():
    """Guards against a limit that does not apply unless it is set."""
    parsed = settings.parse_settings("node.toml", MINIMAL)
    assert parsed.max_body_bytes == 2 << 20
    assert parsed.max_open_requests == 1000


def test_all_findings_are_reported_together():
    """Guards against a check that reports only one fault at a time."""
    text = MINIMAL.replace('"a"', "3").replace("8080", "none")
    with pytest.raises(errors.InvalidDocuments) as caught:
        settings.parse_settings("node.toml", text + "[statds]\n")
    findings = {
        (finding.place, finding.key) for finding in caught.value.findings
    }
    assert findings == {("node.toml:5", "node.failure_domain"),
                        ("node.toml:10", "store.address"),
                        ("node.toml:11", "statds")}


def test_missing_file_is_a_finding(tmp_path):
    """Guards against a traceback for a file that does not exist."""
    with pytest.raises(errors.InvalidDocuments, match="1 finding"):
        settings.read_settings(tmp_path / "none.toml")
