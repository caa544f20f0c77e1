"""Tests of the load tool against a minimal node."""

from http import server
import json
import threading
import typing

from click import testing
import pytest

from trefoilroad_standins import load

MIX = """
[[kinds]]
team = "t1"
template = "small"
run_s = 0.1
"""


class Node(server.BaseHTTPRequestHandler):
    """Completes every request at once with the answer in the payload."""

    answers: typing.ClassVar[dict[str, bytes]] = {}
    cuts = False
    protocol_version = "HTTP/1.1"

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        request_id = self.headers["Idempotency-Key"]
        self.answers[request_id] = body["payload"]["answer"].encode()
        self.reply(202, {"request_id": request_id, "state": "completed"})

    def do_GET(self):
        answer = self.answers[self.path.split("/")[3]]
        self.send(200, answer[:-1] if self.cuts else answer)

    def reply(self, status, document):
        self.send(status, json.dumps(document).encode())

    def send(self, status, content):
        self.send_response(status)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    def log_message(self, *_):
        pass


@pytest.fixture
def options(tmp_path):
    """Options of the load tool for a node that runs in a thread."""
    with server.ThreadingHTTPServer(("127.0.0.1", 0), Node) as node:
        threading.Thread(target=node.serve_forever, daemon=True).start()
        (tmp_path / "mix.toml").write_text(MIX)
        (tmp_path / "tokens.toml").write_text('[tokens]\nt1 = "secret"\n')
        files = [
            "--mix", tmp_path / "mix.toml", "--tokens",
            tmp_path / "tokens.toml", "--history", tmp_path / "history.jsonl"
        ]
        url = f"http://127.0.0.1:{node.server_port}"
        yield [
            *map(str, files), "--node", url, "--count", "20", "--rate", "100"
        ]
        node.shutdown()


def test_load_reports_and_records(options, tmp_path):
    """Guards against requests missing from the report or the history."""
    result = testing.CliRunner().invoke(load.main, options)
    assert result.exit_code == 0, result.output
    assert "wrong answers: 0" in result.output
    assert [line.split()[:3] for line in result.output.splitlines()[1:4]
           ] == [["t1/small", "accepted", "20"], ["t1/small", "ended", "20"],
                 ["team/template", "outcome", "count"]]
    lines = (tmp_path / "history.jsonl").read_text().splitlines()
    ends = [
        entry for entry in map(json.loads, lines) if entry["event"] == "end"
    ]
    assert len(ends) == 20
    assert {end["outcome"] for end in ends} == {"completed"}


def test_truncated_answers_fail_the_run(options, monkeypatch):
    """Guards against a run that passes although answers were truncated."""
    monkeypatch.setattr(Node, "cuts", True)
    result = testing.CliRunner().invoke(load.main, options)
    assert result.exit_code == 1
    assert "wrong answers: 20" in result.output


def test_written_schedule_can_be_read(options, tmp_path):
    """Guards against a schedule that the tool itself cannot submit."""
    path = tmp_path / "schedule.jsonl"
    runner = testing.CliRunner()
    written = runner.invoke(
        load.main,
        [*options, "--write-schedule", str(path)])
    assert written.exit_code == 0
    result = runner.invoke(load.main, [*options, "--schedule", str(path)])
    assert result.exit_code == 0, result.output


@pytest.mark.parametrize("arguments", [[], ["--node", "http://h"]])
def test_missing_files_are_reported(arguments):
    """Guards against a stack trace on wrong usage."""
    result = testing.CliRunner().invoke(load.main, arguments)
    assert result.exit_code == 2
