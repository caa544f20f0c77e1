"""Tests of the command line against scripted nodes."""

import hashlib
import json

from click import testing
import httpx
import pytest

from trefoilroad_client import cli
from trefoilroad_client import session

STATUS = {"request_id": "r1", "state": "queued", "ran": "no"}
OPERATORS = f'[[operator]]\nname = "ama"\ntoken_sha256 = "{"b" * 64}"\n'
DRAINED = 'drained = ["w1"]\n'


class ScriptedNodes:
    """HTTP transport that replies by method and path and records calls."""

    def __init__(self, **replies):
        self.replies = replies
        self.calls = []
        self.now_s = 0.0

    def reply(self, http_request):
        name = f"{http_request.method} {http_request.url.path}"
        self.calls.append((name, http_request.content))
        code, body = self.replies.get(name, (404, {"message": "no such thing"}))
        if isinstance(body, bytes):
            headers = {
                "X-Answer-Length": str(len(body)),
                "X-Answer-Sha256": hashlib.sha256(body).hexdigest()
            }
            return httpx.Response(code, content=body, headers=headers)
        return httpx.Response(code, json=body)

    def sleep(self, delay_s):
        self.now_s += delay_s

    def run(self, *arguments, stdin=None, env=None):
        cli_session = session.Session(transport=httpx.MockTransport(self.reply),
                                      clock=lambda: self.now_s,
                                      sleep=self.sleep)
        env = {
            "TREFOILROAD_NODES": "a:1, b:2",
            "TREFOILROAD_TOKEN": "t"
        } if env is None else env
        return testing.CliRunner().invoke(cli.main,
                                          arguments,
                                          obj=cli_session,
                                          env=env,
                                          input=stdin)


def run(replies, *arguments, **options):
    return ScriptedNodes(**replies).run(*arguments, **options)


def build_status(state, ran="no"):
    return {"GET /v1/requests/r1": (200, STATUS | {"state": state, "ran": ran})}


@pytest.fixture
def documents(tmp_path):
    tmp_path.joinpath("operators.toml").write_text(OPERATORS)
    tmp_path.joinpath("README.md").write_text("notes")
    return tmp_path


@pytest.mark.parametrize(("state", "ran", "code"), [
    ("completed", "yes", 0),
    ("not_run", "no", 3),
    ("expired", "no", 3),
    ("cancelled", "no", 3),
    ("cancelled", "yes", 4),
    ("cancelled", "maybe", 4),
    ("failed", "yes", 4),
    ("unknown", "maybe", 7),
    ("running", "yes", 7),
])
def test_wait_exits_with_the_outcome(state, ran, code):
    """Guards against outcomes that scripts cannot tell apart."""
    result = run(build_status(state, ran), "wait", "r1", "--timeout", "5")
    assert result.exit_code == code
    assert f"0.0 s: {state}" in result.stderr


@pytest.mark.parametrize(("reply", "code"), [
    ((202, STATUS), 0),
    ((400, {}), 1),
    ((429, {
        "outcome": "not_run"
    }), 3),
    ((503, {
        "outcome": "unknown"
    }), 5),
    ((200, {}), 5),
    ((409, {}), 6),
])
def test_submit_exit_codes(reply, code):
    """Guards against submit results that scripts cannot tell apart."""
    result = run({"POST /v1/requests": reply}, "submit", "photo", "--json")
    assert result.exit_code == code
    body = json.loads(result.stdout)
    assert ("error" in body) == (code != 0)
    if code in (0, 3, 5):
        assert f"key {body['key']}" in result.stderr


def test_interrupted_wait_has_its_own_exit_code():
    """Guards against reporting an interruption as a refusal."""
    nodes = ScriptedNodes(**build_status("running", "yes"))

    def interrupt(_):
        raise KeyboardInterrupt

    nodes.sleep = interrupt
    result = nodes.run("wait", "r1")
    assert result.exit_code == 130
    assert "recorded requests go on" in result.stderr


def test_submit_sends_options_and_waits():
    """Guards against options that are not sent to the node."""
    nodes = ScriptedNodes(**{"POST /v1/requests": (202, STATUS)} |
                          build_status("completed"))
    result = nodes.run("submit", "photo", "--payload-file", "-", "--shape",
                     "tasks=2,accelerators=4,adjacent=rack", "--wait-s", "9",
                     "--caller", "ama", "--wait", "--json",
                     stdin='{"n": 1}')  # yapf: disable
    assert result.exit_code == 0
    assert json.loads(result.stdout)["state"] == "completed"
    body = json.loads(nodes.calls[0][1])
    assert body["payload"] == {"n": 1}
    assert body["shape"]["adjacent"] == "rack"
    assert (body["wait_s"], body["caller"]) == (9.0, "ama")


@pytest.mark.parametrize("arguments", [
    ("--payload", "{"),
    ("--payload", "NaN"),
    ("--shape", "tasks=x"),
    ("--shape", "accelerators=1"),
    ("--wait-s", "0"),
])
def test_wrong_submit_options_are_usage_errors(arguments):
    """Guards against a traceback, or a call with an invalid body."""
    nodes = ScriptedNodes()
    assert nodes.run("submit", "photo", *arguments).exit_code == 2
    assert not nodes.calls


def test_result_is_written_whole_or_not_at_all(tmp_path):
    """Guards against output of a partial answer, or of an error as answer."""
    replies = {"GET /v1/requests/r1/answer": (200, b"\0\xff\n")}
    assert run(replies, "result", "r1").stdout_bytes == b"\0\xff\n"
    path = tmp_path / "answer"
    assert run(replies, "result", "r1", "-o", str(path)).exit_code == 0
    assert path.read_bytes() == b"\0\xff\n"
    assert list(tmp_path.iterdir()) == [path]
    replies = build_status("failed", "yes")
    replies["GET /v1/requests/r1/answer"] = (409, {"state": "failed"})
    path = tmp_path / "other"
    assert run(replies, "result", "r1", "-o", str(path)).exit_code == 4
    assert not path.exists()


def test_publish_shows_changes_and_keeps_drained(documents):
    """Guards against undraining workers when the folder has no fleet.toml."""
    current = {"version": 4, "documents": {"fleet.toml": DRAINED}}
    nodes = ScriptedNodes(**{
        "GET /v1/config": (200, current),
        "PUT /v1/config": (200, {
            "version": 5
        })
    })
    refused = nodes.run("publish", str(documents), stdin="n\n")
    assert refused.exit_code == 1
    assert 'operator[ama].name: absent -> "ama"' in refused.stderr
    assert "PUT /v1/config" not in dict(nodes.calls)
    result = nodes.run("publish", str(documents), "--yes")
    assert (result.exit_code, result.stdout) == (0, "version 5 is in force\n")
    assert json.loads(dict(nodes.calls)["PUT /v1/config"]) == {
        "base_version": 4,
        "documents": {
            "fleet.toml": DRAINED,
            "operators.toml": OPERATORS
        }
    }


def test_publish_conflict_names_keys(documents):
    """Guards against a conflict message without the conflicting keys."""
    nodes = ScriptedNodes(
        **{
            "GET /v1/config": (200, {
                "version": 4,
                "documents": {}
            }),
            "PUT /v1/config": (409, {
                "keys": ["fleet.toml:drained"],
                "version": 4
            })
        })
    result = nodes.run("publish", str(documents), "--yes", "--base-version",
                       "3")
    assert result.exit_code == 6
    assert "fleet.toml:drained" in result.stderr
    assert json.loads(nodes.calls[-1][1])["base_version"] == 3


def test_publish_without_changes_does_nothing(documents):
    """Guards against publishing a version without changes."""
    current = {"version": 4, "documents": {"operators.toml": OPERATORS}}
    result = run({"GET /v1/config": (200, current)}, "publish", str(documents))
    assert result.stdout == "nothing to publish; version 4 is in force\n"


@pytest.mark.parametrize("command", ["validate", "publish"])
def test_findings_are_listed_without_a_call(documents, command):
    """Guards against reporting only the first invalid document."""
    documents.joinpath("fleet.toml").write_bytes(b"\xff")
    nodes = ScriptedNodes()
    assert "cannot read" in nodes.run(command, str(documents)).stderr
    documents.joinpath("fleet.toml").write_text("drained = 1\nx = 2\n")
    result = nodes.run(command, str(documents), "--json")
    assert result.exit_code == 1
    assert "fleet.toml:2: x: unknown key" in result.stderr
    assert len(json.loads(result.stdout)["findings"]) == 2
    assert not nodes.calls


def test_tables_hide_control_characters():
    """Guards against control characters of a reply in the terminal."""
    row = STATUS | {"reason": "\x1b[2Jwaits\nlong"}
    result = run({"GET /v1/requests": (200, {"requests": [row]})}, "requests")
    assert result.stdout.splitlines()[1].endswith("?[2Jwaits?long")
    refusal = (400, {"message": "\x1b[2J"})
    assert "\x1b" not in run({"GET /v1/requests": refusal}, "requests").stderr


def test_operator_commands():
    """Guards against commands with a wrong path or without output."""
    entry = {
        "number": 1,
        "at": 60,
        "who": "ama",
        "action": "drain",
        "version": 2
    }
    replies = {
        "POST /v1/workers/w1/drain": (200, {
            "version": 2
        }),
        "POST /v1/workers/w1/undrain": (200, {
            "version": 3
        }),
        "GET /v1/audit": (200, {
            "entries": [entry]
        }),
        "GET /v1/status": (200, {
            "node": "n1",
            "config_version": 3
        }),
        "GET /v1/requests/r1/explain": (200, {
            "text": "no room\nin any rack"
        }),
        "POST /v1/requests/r1/cancel": (200, STATUS),
    }
    for arguments, text in [
        (("drain", "w1"), "w1 is drained from version 2 on\n"),
        (("undrain", "w1"), "w1 is available from version 3 on\n"),
        (("audit",), "1  1970-01-01 00:01:00  ama  drain  version 2\n"),
        (("explain", "r1"), "no room\nin any rack\n"),
        (("cancel", "r1"), "request_id  r1\n"),
        (("status",), "config_version  3\n"),
    ]:
        result = run(replies, *arguments)
        assert result.exit_code == 0
        assert text in result.stdout
    assert json.loads(run(replies, "--json", "audit").stdout)[0]["number"] == 1


def test_settings_file_is_used_and_options_win(tmp_path):
    """Guards against a wrong precedence of options and settings file."""
    path = tmp_path / "client.toml"
    path.write_text('[client]\nnodes = ["a:1"]\ntoken_file = "token"\n')
    tmp_path.joinpath("token").write_text("t\n")
    nodes = ScriptedNodes(**{"GET /v1/status": (200, {"node": "n1"})})
    call = ("--settings", str(path), "status")
    assert nodes.run(*call, env={}).exit_code == 0
    assert nodes.run("--nodes", "ftp://x", *call, env={}).exit_code == 2
    path.write_text('[client]\nnodes = "a:1"\ntimeout = 3\n')
    result = nodes.run(*call, env={})
    assert result.exit_code == 2
    assert "client.toml:3: client.timeout: unknown key" in result.stderr
    assert nodes.run("status", env={}).exit_code == 2
