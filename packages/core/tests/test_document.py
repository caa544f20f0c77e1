"""Tests of the document module."""

import hypothesis
from hypothesis import strategies
import pytest

from trefoilroad_core import document
from trefoilroad_core import errors
from trefoilroad_core import request

TEMPLATE = """\
[template]
name = "photo"
idempotent = true
priority = 3
wait_s = 60
declared_s = 20.5
[template.shape]
tasks = 4
accelerators = 8
adjacent = "rack"
"""
TEAM = f"""\
[team]
name = "knit"
weight = 2
max_queued = 50
max_queued_per_caller = 10
max_accelerators = 64
templates = ["photo"]
token_sha256 = "{'a' * 64}"
[[guarantee]]
gangs = 2
shape = {{ tasks = 4, accelerators = 8 }}
[override.photo]
priority = 0
shape = {{ tasks = 2, accelerators = 8 }}
"""
OPERATOR = f"""\
[[operator]]
name = "ama"
token_sha256 = "{'b' * 64}"
"""
DOCUMENTS = {
    "templates/photo.toml": TEMPLATE,
    "teams/knit.toml": TEAM,
    "operators.toml": OPERATOR,
    "fleet.toml": 'drained = ["w3"]\n',
}
NAMES = {
    TEMPLATE: "templates/photo.toml",
    TEAM: "teams/knit.toml",
    OPERATOR: "operators.toml",
}


def parse_invalid(documents):
    with pytest.raises(errors.InvalidDocuments) as caught:
        document.parse_documents(documents, 1)
    return caught.value.findings


def test_all_fields_are_read():
    """Guards against a declared field that is not read."""
    configuration = document.parse_documents(DOCUMENTS, 7)
    assert configuration.version == 7
    assert configuration.drained == {"w3"}
    assert configuration.operators == {"ama": "b" * 64}
    template = configuration.templates["photo"]
    assert template == ("photo", request.Shape(4, 8, adjacent="rack"), True,
                        False, 3, 60.0, 20.5)
    team = configuration.teams["knit"]
    assert team.guarantees == ((request.Shape(4, 8), 2),)
    assert (team.weight, team.max_queued, team.max_queued_per_caller,
            team.max_accelerators) == (2.0, 50, 10, 64)
    seen = configuration.resolve_template("knit", "photo")
    assert seen == template._replace(priority=0, shape=request.Shape(2, 8))


@pytest.mark.parametrize(
    ("text", "old", "new", "line", "key", "message"),
    [
        (TEMPLATE, "priority = 3", "priority = 10", 4, "template.priority",
         "0 to 9"),
        (TEMPLATE, "priority = 3", "priority = true", 4, "template.priority",
         "whole number"),
        (TEMPLATE, "priority = 3", "prioritty = 3", 4, "template.prioritty",
         "did you mean 'priority'"),
        (TEMPLATE, "= 60", "= true", 5, "template.wait_s", "a number"),
        (TEMPLATE, "wait_s = 60", "wait_s = nan", 5, "template.wait_s",
         "a number"),
        (TEMPLATE, "idempotent = true\n", "", 1, "template.idempotent",
         "missing"),
        (TEMPLATE, "= true", '= "yes"', 3, "template.idempotent",
         "true or false"),
        (TEMPLATE, "tasks = 4", "tasks = 0", 8, "template.shape.tasks", "1 to"),
        (TEMPLATE, '"rack"', '"row"', 10, "template.shape.adjacent", "'none'"),
        (TEMPLATE, '"photo"', '"foto"', 2, "template.name", "file name"),
        (TEMPLATE, "declared_s = 20.5", "declared_s = ", 6, "",
         "not valid TOML"),
        # tomlkit reports the line after a repeated key.
        (TEMPLATE, "wait_s = 60", "priority = 4", 6, "", "already exists"),
        (TEAM, '["photo"]', '["video"]', 7, "team.templates", "does not exist"),
        (TEAM, '["photo"]', '["photo", "photo"]', 7, "team.templates", "twice"),
        (TEAM, "caller = 10", "caller = 51", 5, "team.max_queued_per_caller",
         "at most 50"),
        (TEAM, "= 64", "= 63", 6, "team.max_accelerators", "64 guaranteed"),
        (TEAM, "a" * 64, "A" * 64, 8, "team.token_sha256", "lower-case"),
        (TEAM, "a" * 64, "b" * 64, 8, "team.token_sha256", "same token"),
        (TEAM, "gangs = 2", "gangs = 1.5", 10, "guarantee[0].gangs",
         "whole number"),
        (TEAM, "[[guarantee]]", "[guarantee]", 9, "guarantee", "[[guarantee]]"),
        (TEAM, "[override.photo]", "[override.video]", 12, "override.video",
         "not among"),
        (TEAM, "priority = 0", "weight = 1", 13, "override.photo.weight",
         "unknown key"),
        (TEAM, "tasks = 2", "tasks = -2", 14, "override.photo.shape.tasks",
         "1 to"),
        (OPERATOR, OPERATOR, OPERATOR * 2, 5, "operator[1].name", "twice"),
        (OPERATOR, OPERATOR, "", 0, "operator", "nobody could publish"),
    ])
def test_fault_is_reported_with_its_place(text, old, new, line, key, message):
    """Guards against a fault that is not reported or cannot be located."""
    name = NAMES[text]
    findings = parse_invalid(DOCUMENTS | {name: text.replace(old, new)})
    place = f"{name}:{line}" if line else name
    matching = [
        finding for finding in findings
        if finding[:2] == (place, key) and message in finding.message
    ]
    assert matching, findings


def test_findings_of_all_files_are_reported_together():
    """Guards against a publish that reports only the first fault."""
    findings = parse_invalid({
        "templates/photo.toml": TEMPLATE.replace("tasks = 4", "tasks = 0"),
        "teams/knit.toml": TEAM.replace("weight = 2", 'weight = "2"'),
        "fleet.toml": "drained = [1]\nextra = 1\n",
        "team/other.toml": "",
        "teams/No.toml": "",
    })
    assert sorted(finding.place for finding in findings) == [
        "fleet.toml:1", "fleet.toml:2", "operators.toml", "team/other.toml",
        "teams/No.toml", "teams/knit.toml:3", "templates/photo.toml:8"
    ]


def test_default_limit_of_a_caller_is_not_above_the_team():
    """Guards against a finding about a default value."""
    text = TEAM.replace("max_queued_per_caller = 10\n", "")
    documents = DOCUMENTS | {"teams/knit.toml": text}
    team = document.parse_documents(documents, 1).teams["knit"]
    assert team.max_queued_per_caller == 50


def test_wrong_value_gives_one_finding():
    """Guards against findings that only follow from another finding."""
    text = TEAM.replace("max_queued = 50", "max_queued = 0")
    findings = parse_invalid(DOCUMENTS | {"teams/knit.toml": text})
    assert [finding.key for finding in findings] == ["team.max_queued"]


def test_two_teams_with_one_token_are_refused():
    """Guards against requests that are charged to the wrong team."""
    other = TEAM.replace('"knit"', '"sock"')
    findings = parse_invalid(DOCUMENTS | {"teams/sock.toml": other})
    assert [finding.place for finding in findings] == ["teams/sock.toml:8"]


@pytest.mark.parametrize("documents", [
    {
        f"templates/t{number}.toml": "" for number in range(201)
    },
    {
        "fleet.toml": "#" * (1 << 20) + "\n"
    },
])
def test_set_over_a_limit_is_refused_unread(documents):
    """Guards against a set that blocks the event loop while it is parsed."""
    (finding,) = parse_invalid(documents)
    assert finding.place == "documents"


def test_deep_nesting_is_a_finding():
    """Guards against a RecursionError that crashes the node."""
    findings = parse_invalid(DOCUMENTS |
                             {"fleet.toml": "drained = " + "[" * 100_000})
    assert findings[0].place.startswith("fleet.toml")


@hypothesis.given(strategies.text(alphabet='[]{}=."\n a1#,-'))
def test_any_text_gives_findings_or_a_configuration(text):
    """Guards against unexpected exceptions for malformed documents."""
    names = ["fleet.toml", "teams/a.toml", "templates/a.toml", "operators.toml"]
    parse_invalid(dict.fromkeys(names, text))


def test_comparison_lists_changed_keys_only():
    """Guards against audit entries with missing or spurious changes."""
    new = dict(DOCUMENTS)
    new["templates/photo.toml"] = "# note\n" + TEMPLATE.replace(
        "true", "1").replace("60", "90")
    new["teams/knit.toml"] = TEAM.replace("gangs = 2", "gangs = true")
    new["operators.toml"] = OPERATOR.replace("ama", "efua")
    del new["fleet.toml"]
    changes = document.compare_documents(DOCUMENTS, new)
    assert changes == [
        ("fleet.toml:drained", ["w3"], None),
        ("operators.toml:operator[ama].name", "ama", None),
        ("operators.toml:operator[ama].token_sha256", "b" * 64, None),
        ("operators.toml:operator[efua].name", None, "efua"),
        ("operators.toml:operator[efua].token_sha256", None, "b" * 64),
        ("teams/knit.toml:guarantee[0].gangs", 2, True),
        ("templates/photo.toml:template.idempotent", True, 1),
        ("templates/photo.toml:template.wait_s", 60, 90),
    ]


def test_comparison_accepts_documents_that_are_not_toml():
    """Guards against a diff that fails on malformed documents."""
    changes = document.compare_documents({"a": "x ="}, {"a": "x = 1"})
    assert changes == [("a", "x =", None), ("a:x", None, 1)]


def test_drained_list_is_replaced_and_comments_stay():
    """Guards against a drain that deletes an operator's comments."""
    documents = DOCUMENTS | {"fleet.toml": '# why\ndrained = ["w3"]\n'}
    new = document.replace_drained(documents, frozenset({"w9", "w3"}))
    assert new["fleet.toml"].startswith("# why\n")
    assert document.parse_documents(new, 2).drained == {"w3", "w9"}
    del documents["fleet.toml"]
    new = document.replace_drained(documents, frozenset({"w9"}))
    assert document.parse_documents(new, 2).drained == {"w9"}
