"""Converts unsuccessful replies to typed errors."""

import http
from typing import NoReturn

import httpx

from trefoilroad_client import nodeclient
from trefoilroad_client import results
from trefoilroad_core import errors


def raise_publish_error(response: httpx.Response,
                        base_version: int) -> NoReturn:
    """Raises the error for invalid documents or for a version conflict."""
    if response.status_code == http.HTTPStatus.UNPROCESSABLE_ENTITY:
        findings = results.parse_findings(nodeclient.read_json(response))
        raise errors.InvalidDocuments.from_findings(findings)
    keys = nodeclient.get_field(response, "keys") or []
    listed = ", ".join(map(str, keys)) or "unknown keys"
    raise errors.VersionConflict(
        f"the configuration changed after version {base_version} in "
        f"{listed}; compare with 'diff', merge and publish again",
        keys=tuple(map(str, keys)),
        version=nodeclient.get_field(response, "version") or 0)


def raise_submit_error(reply: nodeclient.Reply, key: str) -> NoReturn:
    """Raises the error for a submit call that no node accepted."""
    response = reply.response
    status = response.status_code if response is not None else 0
    if response is not None and status == http.HTTPStatus.CONFLICT:
        raise errors.KeyReused(
            f"key {key} belongs to a request with another body; submit with "
            "a new key")
    if reply.side_effect is nodeclient.SideEffect.POSSIBLY_DONE:
        raise errors.OutcomeUnknown(
            "the request may have been recorded; submit again with the same "
            f"key {key} ({reply.last_error})",
            key=key)
    if response is None or status in nodeclient.TEMPORARY_STATUSES:
        header = response.headers.get("Retry-After",
                                      "") if response is not None else ""
        raise errors.NotRun(
            f"the request was not recorded and did not run; submit it again "
            f"later ({reply.last_error})",
            key=key,
            retry_after_s=float(header) if header.isdecimal() else 0.0)
    raise_refusal(response)


def require_known_outcome(reply: nodeclient.Reply, advice: str) -> None:
    """Raises OutcomeUnknown if a failed change may have taken effect.

    Args:
        reply: The reply to the change.
        advice: What to do about it, for the error text.
    """
    response = reply.response
    if response is not None and response.is_success:
        return
    if reply.side_effect is nodeclient.SideEffect.POSSIBLY_DONE:
        raise errors.OutcomeUnknown(
            f"the change may have taken effect; {advice} ({reply.last_error})")


def require_success(reply: nodeclient.Reply) -> httpx.Response:
    """Returns the response of a successful call, or raises its error."""
    response = reply.response
    if (response is None or
            response.status_code in nodeclient.TEMPORARY_STATUSES):
        raise errors.Unavailable(
            f"no node gave a result; check the nodes or try again later "
            f"({reply.last_error})")
    if not response.is_success:
        raise_refusal(response)
    return response


def raise_refusal(response: httpx.Response) -> NoReturn:
    """Raises the error for a refusal that a retry would not change."""
    text = nodeclient.get_error_message(response)
    if response.status_code in (401, 403):
        raise errors.AccessRefused(
            f"{text}; check that the token is right and allows this call")
    if response.status_code == http.HTTPStatus.NOT_FOUND:
        raise errors.NotFound(f"{text}; check the name or id, and that it "
                              "belongs to the token's team")
    if response.status_code == http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
        raise errors.CallRefused(f"{text}; send a smaller body")
    raise errors.CallRefused(f"{text}; correct the call")
