"""Turns replies that are not a success into typed errors."""

import http
from typing import NoReturn

import httpx

from trefoilroad_client import exchange
from trefoilroad_client import results
from trefoilroad_core import errors


def raise_unpublished(response: httpx.Response, base_version: int) -> NoReturn:
    """Raises the error of refused documents or of a clash."""
    if response.status_code == http.HTTPStatus.UNPROCESSABLE_ENTITY:
        findings = results.parse_findings(exchange.read_json(response))
        raise errors.InvalidDocuments.from_findings(findings)
    keys = exchange.get_field(response, "keys") or []
    listed = ", ".join(map(str, keys)) or "unknown keys"
    raise errors.VersionConflict(
        f"the configuration changed after version {base_version} in "
        f"{listed}; compare with 'diff', merge and publish again",
        keys=tuple(map(str, keys)),
        version=exchange.get_field(response, "version") or 0)


def raise_not_submitted(reply: exchange.Reply, key: str) -> NoReturn:
    """Raises the error of a submit call that no node accepted."""
    response = reply.response
    status = response.status_code if response is not None else 0
    if response is not None and status == http.HTTPStatus.CONFLICT:
        raise errors.KeyReused(
            f"key {key} belongs to a request with another body; submit with "
            "a new key")
    if reply.certainty is exchange.Certainty.POSSIBLY_DONE:
        raise errors.OutcomeUnknown(
            "the request may have been recorded; submit again with the same "
            f"key {key} ({reply.problem})",
            key=key)
    if response is None or status in exchange.TEMPORARY:
        header = response.headers.get("Retry-After",
                                      "") if response is not None else ""
        raise errors.NotRun(
            f"the request was not recorded and did not run; submit it again "
            f"later ({reply.problem})",
            key=key,
            retry_after_s=float(header) if header.isdecimal() else 0.0)
    raise_refusal(response)


def check_change(reply: exchange.Reply, advice: str) -> None:
    """Raises OutcomeUnknown unless a node gave a result."""
    response = reply.response
    if response is not None and response.is_success:
        return
    if reply.certainty is exchange.Certainty.POSSIBLY_DONE:
        raise errors.OutcomeUnknown(
            f"the change may have taken effect; {advice} ({reply.problem})")


def require_ok(reply: exchange.Reply) -> httpx.Response:
    """Returns the response of a successful call, else raises its error."""
    response = reply.response
    if response is None or response.status_code in exchange.TEMPORARY:
        raise errors.Unavailable(
            f"no node gave a result; check the nodes or try again later "
            f"({reply.problem})")
    if not response.is_success:
        raise_refusal(response)
    return response


def raise_refusal(response: httpx.Response) -> NoReturn:
    """Raises the error of a final refusal."""
    text = exchange.describe(response)
    if response.status_code in (401, 403):
        raise errors.AccessRefused(
            f"{text}; check that the token is right and allows this call")
    if response.status_code == http.HTTPStatus.NOT_FOUND:
        raise errors.NotFound(f"{text}; check the name or id, and that it "
                              "belongs to the token's team")
    if response.status_code == http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
        raise errors.CallRefused(f"{text}; send less")
    raise errors.CallRefused(f"{text}; correct the call")
