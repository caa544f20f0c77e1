"""Commands to workers over HTTP."""

from collections.abc import Callable
import json
from typing import Any

from trefoilroad_core import events
from trefoilroad_node import httpclient


class Workers:
    """Sends the owner's commands to the workers' addresses."""

    def __init__(self, *, client: httpclient.HttpClient):
        self._client = client
        self.addresses: dict[str, str] = {}

    def send(
        self, command: events.Command,
        on_done: Callable[[events.CommandAnswered | events.CommandLost], None]
    ) -> None:
        """Sends a command.

        Args:
            command: The command.
            on_done: Gets the answer, or the loss.
        """
        lost = events.CommandLost(command.command_id)
        address = self.addresses.get(command.worker_id)
        if address is None:
            on_done(lost)
            return

        def take(result: httpclient.Reply | httpclient.Lost) -> None:
            body = _decode_object(result)
            if isinstance(result, httpclient.Lost) or body is None:
                on_done(lost)
            else:
                on_done(
                    events.CommandAnswered(command_id=command.command_id,
                                           status=result.status,
                                           body=body))

        self._client.send(address=address,
                          method="POST",
                          path=command.path,
                          body=json.dumps(command.body).encode(),
                          timeout_s=command.timeout_s,
                          on_done=take)

    def fetch_answer(self, worker_id: str, attempt_id: str, epoch: int,
                     on_done: Callable[[bytes | None], None]) -> None:
        """Fetches an answer; `on_done` gets None if it did not come."""
        address = self.addresses.get(worker_id)
        if address is None:
            on_done(None)
            return

        def take(result: httpclient.Reply | httpclient.Lost) -> None:
            whole = isinstance(result, httpclient.Reply) and (result.status
                                                              == 200)
            on_done(result.body if whole else None)  # type: ignore[union-attr]

        body = json.dumps({"attempt": attempt_id, "epoch": epoch}).encode()
        self._client.send(address=address,
                          method="POST",
                          path="/v1/answer",
                          body=body,
                          timeout_s=ANSWER_TIMEOUT_S,
                          on_done=take)


ANSWER_TIMEOUT_S = 5.0


def _decode_object(
        result: httpclient.Reply | httpclient.Lost) -> dict[str, Any] | None:
    if isinstance(result, httpclient.Lost):
        return None
    try:
        body = json.loads(result.body)
    except ValueError:
        return None
    if not isinstance(body, dict) or "boot" not in body:
        return None
    return body
