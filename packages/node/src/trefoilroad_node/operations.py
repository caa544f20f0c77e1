"""Publish, audit, drain, explain, status and readiness of a node.

Publish, audit and drain are for operators, explain is for callers, and status
and readiness are for all.
"""

from collections.abc import Callable
import re
import time
from typing import Any

from trefoilroad_core import document
from trefoilroad_core import errors
from trefoilroad_node import edge as edges
from trefoilroad_node import ownership
from trefoilroad_node import publication as publications
from trefoilroad_node import region as regions
from trefoilroad_node import settings as node_settings
from trefoilroad_node import store as stores
from trefoilroad_node import traffic

Response = edges.Response
Respond = edges.Respond

# Tries of a drain that conflicts with other publishes.
MAX_DRAIN_TRIES = 5
AUDIT_PREFIX = "audit/"
# What a refusal of a publish says has not been done.
PUBLISH_SCOPE = "this publish"
_VERSION_PATTERN = re.compile(r"[0-9]{1,15}")

AskForExplanation = Callable[[str, Callable[[str], None]], None]


class Operations:
    """Serves calls of operators, explanations, status and readiness.

    It uses the state of the other parts of the node.

    Attributes:
        stopping: Whether the node is being stopped.
        byte_counter: Bytes of control traffic, reported in the status.
    """

    def __init__(self, *, settings: node_settings.Settings,
                 publication: publications.Publication,
                 region: regions.RegionOwner,
                 owner: Callable[[], ownership.OwnerRow], store: stores.Store,
                 edge: edges.Edge, ask_for_explanation: AskForExplanation):
        """Creates the operations of one node.

        Args:
            settings: Settings of this node.
            publication: Tracks and publishes the configuration.
            region: Fleet and, on the owner, its state machine.
            owner: Returns the owner row as last read.
            store: Table service.
            edge: Reads requests for `explain`.
            ask_for_explanation: Asks the owner to explain a request.
        """
        self._settings = settings
        self._publication = publication
        self._region = region
        self._get_owner = owner
        self._store = store
        self._edge = edge
        self._ask_for_explanation = ask_for_explanation
        self._started_s = time.monotonic()
        self.stopping = False
        self.byte_counter = traffic.ByteCounter()

    def check_ready(self) -> tuple[bool, str]:
        """Returns whether the node is ready for requests, and the reason."""
        if self.stopping:
            return False, "stopping"
        if self._publication.current.row_version == 0:
            return False, "no configuration yet"
        return True, "ready"

    def describe_node(self) -> dict[str, Any]:
        """Returns the status of this node."""
        owner = self._get_owner()
        current = self._publication.current
        core = self._region.core
        status: dict[str, Any] = {
            "node": self._settings.node_id,
            "region": self._settings.region,
            "failure_domain": self._settings.failure_domain,
            "owner": owner.node,
            "epoch": owner.epoch,
            "is_owner": core is not None,
            "config_version": current.configuration.version,
            "ready": self.check_ready()[0],
            "workers": len(self._region.fleet.workers),
            "uptime_s": time.monotonic() - self._started_s,
            "bytes_sent": self.byte_counter.sent_bytes,
            "bytes_received": self.byte_counter.received_bytes
        }
        if core is not None:
            # These are the open requests of the region.
            status["jobs"] = len(core.jobs)
            status["waiting"] = sum(
                job.is_waiting for job in core.jobs.values())
            status["store_suspect"] = core.store_suspect
        return status

    def show_configuration(self, respond: Respond) -> None:
        """Responds with the documents in force."""

        def show() -> None:
            current = self._publication.current
            respond(
                Response(
                    200, {
                        "version": current.configuration.version,
                        "documents": dict(current.documents)
                    }))

        self._publication.refresh(show)

    def publish(self, who: str, body: Any, respond: Respond) -> None:
        """Publishes documents.

        Args:
            who: Name of the operator.
            body: Decoded JSON body.
            respond: Called with the response.
        """
        problem = _validate_publish_body(body)
        if problem:
            respond(Response(400, {"error": problem}))
            return
        if not self._region.fleet.workers:
            # The check of the guarantees would fail against an empty fleet.
            respond(
                Response(
                    503,
                    edges.describe_refusal("this node knows no workers yet",
                                           scope=PUBLISH_SCOPE)))
            return
        self._publication.publish(
            documents=body["documents"],
            base_version=body["base_version"],
            who=who,
            workers=self._region.fleet,
            on_done=lambda result: respond(_build_publish_response(result)))

    def drain(self, who: str, worker_id: str, drained: bool,
              respond: Respond) -> None:
        """Drains a worker or ends its drain.

        Args:
            who: Name of the operator.
            worker_id: The worker.
            drained: Whether to drain it or to end the drain.
            respond: Called with the response.
        """
        if drained and worker_id not in self._region.fleet.workers:
            respond(Response(404, {"error": f"no worker {worker_id!r}"}))
            return
        self._try_drain(who, worker_id, drained, respond, MAX_DRAIN_TRIES)

    def _try_drain(self, who: str, worker_id: str, drained: bool,
                   respond: Respond, tries: int) -> None:
        current = self._publication.current
        drained_ids = set(current.configuration.drained)
        if drained:
            drained_ids.add(worker_id)
        else:
            drained_ids.discard(worker_id)
        documents = document.replace_drained(current.documents,
                                             frozenset(drained_ids))

        def handle_result(result: Any) -> None:
            if not isinstance(result, publications.PublishConflict):
                respond(_build_publish_response(result))
            elif tries > 1:
                self._try_drain(who, worker_id, drained, respond, tries - 1)
            else:
                respond(
                    Response(
                        503,
                        edges.describe_refusal(
                            "not recorded: other publishes came before each of "
                            f"{MAX_DRAIN_TRIES} tries; repeat the call",
                            scope="this drain")))

        self._publication.publish(documents=documents,
                                  base_version=current.configuration.version,
                                  who=who,
                                  workers=self._region.fleet,
                                  on_done=handle_result,
                                  action="drain" if drained else "undrain")

    def show_audit(self, since: str, respond: Respond) -> None:
        """Responds with the audit entries after a version."""
        if not _VERSION_PATTERN.fullmatch(since):
            respond(Response(400, {"error": "since is not a version"}))
            return

        def handle_result(result: Any) -> None:
            if not isinstance(result, stores.Rows):
                respond(Response(503, {"error": "the store does not answer"}))
                return
            entries = sorted(
                (row.value
                 for row in result.rows
                 if row.value and row.value["version"] > int(since)),
                key=lambda entry: entry["version"])
            respond(Response(200, {"entries": entries}))

        self._store.read_rows(AUDIT_PREFIX, 0, handle_result)

    def explain(self, team: str, request_id: str, respond: Respond) -> None:
        """Responds with the status of a request and the reason for it."""

        def handle_status(result: Response) -> None:
            if result.status != 200:
                respond(result)
                return
            if result.body["final"]:
                reason = result.body["reason"] or "no further reason"
                text = f"is {result.body['state']}: {reason}"
                respond(Response(200, result.body | {"text": text}))
                return
            self._ask_for_explanation(
                request_id, lambda text: respond(
                    Response(200, result.body | {"text": text})))

        self._edge.show(team, request_id, handle_status)


def _validate_publish_body(body: Any) -> str:
    if not isinstance(body, dict):
        return "the body must be an object"
    if type(body.get("base_version")) is not int:
        return "base_version must be a whole number"
    documents = body.get("documents")
    if not isinstance(documents, dict) or not all(
            isinstance(text, str) for text in documents.values()):
        return "documents must map file names to texts"
    return ""


def _build_publish_response(result: Any) -> Response:
    if isinstance(result, publications.PublishedConfiguration):
        return Response(200, {"version": result.configuration.version})
    if isinstance(result, publications.PublishConflict):
        return Response(
            409, {
                "error": "somebody else has published meanwhile",
                "version": result.version,
                "keys": result.keys
            })
    if isinstance(result, errors.InvalidDocuments):
        findings = [finding._asdict() for finding in result.findings]
        return Response(422, {"findings": findings})
    if isinstance(result, errors.StoreRefused):
        return Response(
            503,
            edges.describe_refusal("the store does not answer",
                                   scope=PUBLISH_SCOPE))
    return Response(
        503, {
            "error": "the store did not answer; the publish may have taken "
                     "effect, so compare the version in force"
        })
