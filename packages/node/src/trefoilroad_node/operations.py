"""What a node does for operators: publish, audit, drain, status, explain."""

from collections.abc import Callable
import re
import time
from typing import Any

from trefoilroad_core import document
from trefoilroad_core import errors
from trefoilroad_node import edge as edges
from trefoilroad_node import ownership
from trefoilroad_node import publication
from trefoilroad_node import region as regions
from trefoilroad_node import settings as node_settings
from trefoilroad_node import store as stores
from trefoilroad_node import traffic

Response = edges.Response
Respond = edges.Respond

# How often a drain is tried again when somebody publishes at the same moment.
MAX_DRAIN_TRIES = 5
AUDIT_PREFIX = "audit/"
_VERSION = re.compile(r"[0-9]{1,15}")

AskOwner = Callable[[str, Callable[[str], None]], None]


class Operations:
    """Serves operators; all state is in the parts that it is given."""

    def __init__(self, *, settings: node_settings.Settings,
                 published: publication.Publication, region: regions.Region,
                 owner: Callable[[], ownership.OwnerRow], store: stores.Store,
                 edge: edges.Edge, ask_owner: AskOwner):
        """Prepares the actions.

        Args:
            settings: Settings of this node.
            published: The configuration in force.
            region: Fleet and, on the owner, its decisions.
            owner: Returns the owner as last read.
            store: Table service.
            edge: Reads requests for `explain`.
            ask_owner: Asks the owner to explain a request.
        """
        self._settings = settings
        self._published = published
        self._region = region
        self._owner = owner
        self._store = store
        self._edge = edge
        self._ask_owner = ask_owner
        self._begun_s = time.monotonic()
        self.stopping = False
        self.byte_counter = traffic.ByteCounter()

    def check_ready(self) -> tuple[bool, str]:
        """Tells whether the balancer should send requests here."""
        if self.stopping:
            return False, "stopping"
        if self._published.current.row_version == 0:
            return False, "no configuration yet"
        return True, "ready"

    def describe_node(self) -> dict[str, Any]:
        """Describes this node and what it knows of the owner."""
        owner = self._owner()
        current = self._published.current
        core = self._region.core
        described: dict[str, Any] = {
            "node": self._settings.node_id,
            "region": self._settings.region,
            "failure_domain": self._settings.failure_domain,
            "owner": owner.node,
            "epoch": owner.epoch,
            "is_owner": core is not None,
            "config_version": current.configuration.version,
            "ready": self.check_ready()[0],
            "workers": len(self._region.fleet.workers),
            "uptime_s": time.monotonic() - self._begun_s,
            "bytes_sent": self.byte_counter.sent_bytes,
            "bytes_received": self.byte_counter.received_bytes
        }
        if core is not None:
            described["jobs"] = len(core.jobs)
            described["waiting"] = sum(
                job.is_waiting for job in core.jobs.values())
            described["store_suspect"] = core.store_suspect
        return described

    def show_configuration(self, respond: Respond) -> None:
        """Responds with the documents in force."""

        def show() -> None:
            current = self._published.current
            respond(
                Response(
                    200, {
                        "version": current.configuration.version,
                        "documents": dict(current.documents)
                    }))

        self._published.refresh(show)

    def publish(self, who: str, body: Any, respond: Respond) -> None:
        """Publishes documents.

        Args:
            who: Operator.
            body: Decoded JSON body.
            respond: Gets the response.
        """
        problem = _check_publish(body)
        if problem:
            respond(Response(400, {"error": problem}))
            return
        if not self._region.fleet.workers:
            # Guarantees that are checked against no workers would be refused
            # as too large.
            respond(
                Response(
                    503,
                    edges.describe_refusal("this node knows no workers yet")))
            return
        self._published.publish(
            documents=body["documents"],
            base_version=body["base_version"],
            who=who,
            workers=self._region.fleet,
            on_done=lambda result: respond(_describe_publish(result)))

    def drain(self, who: str, worker_id: str, drained: bool,
              respond: Respond) -> None:
        """Adds or removes a worker from the drained ones."""
        if drained and worker_id not in self._region.fleet.workers:
            respond(Response(404, {"error": f"no worker {worker_id!r}"}))
            return
        self._try_drain(who, worker_id, drained, respond, MAX_DRAIN_TRIES)

    def _try_drain(self, who: str, worker_id: str, drained: bool,
                   respond: Respond, tries: int) -> None:
        current = self._published.current
        names = set(current.configuration.drained)
        if drained:
            names.add(worker_id)
        else:
            names.discard(worker_id)
        documents = document.replace_drained(current.documents,
                                             frozenset(names))

        def take(result: Any) -> None:
            if isinstance(result, publication.PublishConflict) and tries > 1:
                self._try_drain(who, worker_id, drained, respond, tries - 1)
            else:
                respond(_describe_publish(result))

        self._published.publish(documents=documents,
                                base_version=current.configuration.version,
                                who=who,
                                workers=self._region.fleet,
                                on_done=take,
                                action="drain" if drained else "undrain")

    def show_audit(self, since: str, respond: Respond) -> None:
        """Responds with the audit trail after a version."""
        if not _VERSION.fullmatch(since):
            respond(Response(400, {"error": "since is not a version"}))
            return

        def take(result: Any) -> None:
            if not isinstance(result, stores.Rows):
                respond(Response(503, {"error": "the store does not answer"}))
                return
            entries = sorted(
                (row.value
                 for row in result.rows
                 if row.value and row.value["version"] > int(since)),
                key=lambda entry: entry["version"])
            respond(Response(200, {"entries": entries}))

        self._store.read_rows(AUDIT_PREFIX, 0, take)

    def explain(self, team: str, request_id: str, respond: Respond) -> None:
        """Responds with why a request is where it is."""

        def use(result: Response) -> None:
            if result.status != 200:
                respond(result)
                return
            if result.body["final"]:
                reason = result.body["reason"] or "no further reason"
                text = f"is {result.body['state']}: {reason}"
                respond(Response(200, result.body | {"text": text}))
                return
            self._ask_owner(
                request_id, lambda text: respond(
                    Response(200, result.body | {"text": text})))

        self._edge.show(team, request_id, use)


def _check_publish(body: Any) -> str:
    if not isinstance(body, dict):
        return "the body must be an object"
    if type(body.get("base_version")) is not int:
        return "base_version must be a whole number"
    documents = body.get("documents")
    if not isinstance(documents, dict) or not all(
            isinstance(text, str) for text in documents.values()):
        return "documents must map file names to texts"
    return ""


def _describe_publish(result: Any) -> Response:
    if isinstance(result, publication.Published):
        return Response(200, {"version": result.configuration.version})
    if isinstance(result, publication.PublishConflict):
        return Response(
            409, {
                "error": "somebody else has published meanwhile",
                "version": result.version,
                "keys": result.keys
            })
    if isinstance(result, errors.InvalidDocuments):
        findings = [finding._asdict() for finding in result.findings]
        return Response(422, {"findings": findings})
    return Response(
        503, {
            "error": "the store did not answer; the publish may have taken "
                     "effect, so compare the version in force"
        })
