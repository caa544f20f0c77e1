"""Sends commands to workers over HTTP."""

import abc
from collections.abc import Callable
from collections.abc import Mapping
import json
from typing import Any

from trefoilroad_core import events
from trefoilroad_node import httpclient

FETCH_ANSWER_TIMEOUT_S = 5.0

OnReplied = Callable[[events.CommandReplied | events.CommandLost], None]
OnFetched = Callable[[bytes | None], None]


class Workers(abc.ABC):
    """Sends the owner's commands to workers."""

    @abc.abstractmethod
    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Replaces the addresses, "host:port" by worker id."""

    @abc.abstractmethod
    def send(self, command: events.Command, on_done: OnReplied) -> None:
        """Sends a command.

        Args:
            command: The command.
            on_done: Called with CommandReplied, or with CommandLost if no
                valid reply came.
        """

    @abc.abstractmethod
    def fetch_answer(self, worker_id: str, attempt_id: str, epoch: int,
                     on_done: OnFetched) -> None:
        """Fetches the answer of a completed attempt.

        Args:
            worker_id: Worker that holds the answer.
            attempt_id: The attempt.
            epoch: Epoch of the owner.
            on_done: Called with the answer, or None if it was not received.
        """


class HttpWorkers(Workers):
    """Commands to workers as JSON over HTTP."""

    def __init__(self, *, client: httpclient.HttpClient):
        self._client = client
        self._addresses: dict[str, str] = {}

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """See Workers.set_addresses."""
        for address in set(self._addresses.values()) - set(addresses.values()):
            self._client.disconnect(address)
        self._addresses = dict(addresses)

    def send(self, command: events.Command, on_done: OnReplied) -> None:
        """See Workers.send."""
        lost = events.CommandLost(command.command_id)

        def handle_result(
                result: httpclient.Reply | httpclient.NoReply) -> None:
            body = _decode_object(result)
            if isinstance(result, httpclient.NoReply) or body is None:
                on_done(lost)
                return
            on_done(
                events.CommandReplied(command_id=command.command_id,
                                      status=result.status,
                                      body=body))

        address = self._addresses.get(command.worker_id)
        if address is None:
            on_done(lost)
            return
        self._client.send(address=address,
                          method="POST",
                          path=command.path,
                          body=json.dumps(command.body).encode(),
                          timeout_s=command.timeout_s,
                          on_done=handle_result)

    def fetch_answer(self, worker_id: str, attempt_id: str, epoch: int,
                     on_done: OnFetched) -> None:
        """See Workers.fetch_answer."""

        def handle_result(
                result: httpclient.Reply | httpclient.NoReply) -> None:
            if isinstance(result, httpclient.Reply) and result.status == 200:
                on_done(result.body)
            else:
                on_done(None)

        address = self._addresses.get(worker_id)
        if address is None:
            on_done(None)
            return
        body = json.dumps({"attempt": attempt_id, "epoch": epoch}).encode()
        self._client.send(address=address,
                          method="POST",
                          path="/v1/answer",
                          body=body,
                          timeout_s=FETCH_ANSWER_TIMEOUT_S,
                          on_done=handle_result)


def _decode_object(
    result: httpclient.Reply | httpclient.NoReply,) -> dict[str, Any] | None:
    if isinstance(result, httpclient.NoReply):
        return None
    try:
        body = json.loads(result.body)
    except ValueError:
        return None
    if not isinstance(body, dict) or "boot" not in body:
        return None
    return body
