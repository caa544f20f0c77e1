"""Reads and publishes the configuration and writes its audit trail."""

from collections.abc import Callable
from collections.abc import Mapping
import random
import time
from typing import Any
from typing import NamedTuple

import structlog

from trefoilroad_core import contract
from trefoilroad_core import document
from trefoilroad_core import errors
from trefoilroad_core import fleet
from trefoilroad_core import guarantee
from trefoilroad_node import store as stores
from trefoilroad_node import timer

CONFIG_KEY = "config/current"
CONFIG_POLL_INTERVAL_S = 1.0
MAX_PUBLISH_TRIES = 4

_log = structlog.get_logger()


class PublishedConfiguration(NamedTuple):
    """One published version of the configuration.

    Attributes:
        configuration: Configuration parsed from the documents.
        documents: Text by file name.
        row_version: Version of the row `config/current`.
    """

    configuration: contract.Configuration
    documents: Mapping[str, str]
    row_version: int


class PublishConflict(NamedTuple):
    """Another version was published after the base version of a publish.

    Attributes:
        version: Version in force.
        keys: Keys that changed since the base version.
    """

    version: int
    keys: list[str]


NOT_PUBLISHED = PublishedConfiguration(
    configuration=contract.EMPTY_CONFIGURATION, documents={}, row_version=0)
# Versions whose documents are kept to name the changed keys in a conflict.
MAX_HISTORY_VERSIONS = 20


class Publication:
    """Tracks the latest configuration; an older version never replaces it.

    Attributes:
        current: The configuration in force.
    """

    def __init__(self, *, store: stores.Store, timers: timer.Timers,
                 rng: random.Random,
                 on_change: Callable[[PublishedConfiguration], None]):
        """Starts to poll the configuration row.

        Args:
            store: Table service.
            timers: Clock and timers.
            rng: Source of tokens.
            on_change: Called with each newer version.
        """
        self.current = NOT_PUBLISHED
        self._history: dict[int, Mapping[str, str]] = {0: {}}
        self._store = store
        self._rng = rng
        self._on_change = on_change
        timers.call_every(CONFIG_POLL_INTERVAL_S, self.refresh)

    def refresh(self, then: Callable[[], None] | None = None) -> None:
        """Reads the configuration row.

        Args:
            then: Called when the read is done, also if it failed.
        """

        def handle_row(result: Any) -> None:
            if isinstance(result, stores.Row) and result.value is not None:
                self.apply_if_newer(result.value, result.version)
            if then is not None:
                then()

        self._store.read_row(CONFIG_KEY, handle_row)

    def apply_if_newer(self, value: Any, row_version: int) -> None:
        """Puts a version in force if it is newer than the current one.

        Args:
            value: Value of the row `config/current`, read from the store or
                received from another node.
            row_version: Version of the row.
        """
        if row_version <= self.current.row_version:
            return
        try:
            configuration = document.parse_documents(value["documents"],
                                                     value["version"])
        except (errors.InvalidDocuments, KeyError, TypeError) as error:
            # Published by a newer release, or damaged: the last valid version
            # stays in force, and submissions are refused because their
            # condition on the version of this row fails.
            _log.error("configuration row cannot be read", error=repr(error))
            return
        self.current = PublishedConfiguration(configuration=configuration,
                                              documents=value["documents"],
                                              row_version=row_version)
        self._history[configuration.version] = value["documents"]
        self._history.pop(configuration.version - MAX_HISTORY_VERSIONS, None)
        _log.info("configuration in force", version=configuration.version)
        self._on_change(self.current)

    def publish(self,
                *,
                documents: Mapping[str, str],
                base_version: int,
                who: str,
                workers: fleet.Fleet,
                on_done: Callable[[Any], None],
                action: str = "publish") -> None:
        """Publishes a new version if the base version is still in force.

        Args:
            documents: Text by file name.
            base_version: Version that the operator started from.
            who: Name of the operator, for the audit trail.
            workers: Fleet that must have room for all guarantees if the new
                version changes any.
            on_done: Called with a PublishedConfiguration, PublishConflict,
                InvalidDocuments or StoreError; with StoreRefused only if no
                try can have taken effect.
            action: Action of the operator, for the audit trail.
        """
        self.refresh(lambda: self._publish(documents, base_version, who,
                                           workers, on_done, action))

    def _publish(self, documents: Mapping[str, str], base_version: int,
                 who: str, workers: fleet.Fleet, on_done: Callable[[Any], None],
                 action: str) -> None:
        if base_version != self.current.configuration.version:
            on_done(self._describe_conflict(base_version))
            return
        try:
            configuration = document.parse_documents(documents,
                                                     base_version + 1)
            if _changes_guarantees(self.current.configuration, configuration):
                _check_guarantees(workers, configuration)
        except errors.InvalidDocuments as error:
            on_done(error)
            return
        token = f"{self._rng.getrandbits(64):016x}"
        value = {
            "version": base_version + 1,
            "documents": dict(documents),
            "who": who,
            "token": token
        }
        audit = {
            "number":
                base_version + 1,
            "version":
                base_version + 1,
            "action":
                action,
            "who":
                who,
            "at":
                time.time(),
            "changes": [
                change._asdict() for change in document.compare_documents(
                    self.current.documents, documents)
            ]
        }
        pending = _PendingPublish(value=value,
                                  audit=audit,
                                  base_version=base_version,
                                  base_row_version=self.current.row_version,
                                  on_done=on_done)
        self._send(pending)

    def _send(self, pending: "_PendingPublish") -> None:
        pending.tries += 1
        key = f"audit/{pending.value['version']:012d}"
        self._store.commit({CONFIG_KEY: pending.base_row_version}, {
            CONFIG_KEY: pending.value,
            key: pending.audit
        }, lambda result: self._handle_commit_result(pending, result))

    def _handle_commit_result(self, pending: "_PendingPublish",
                              result: Any) -> None:
        if isinstance(result, int):
            self.apply_if_newer(pending.value, result)
            pending.on_done(self.current)
            return
        if isinstance(result, errors.CommitConflict):
            self._resolve_conflict(pending)
            return
        if not isinstance(result, errors.StoreRefused):
            pending.maybe_written = True
        if pending.tries < MAX_PUBLISH_TRIES:
            # The repeat is idempotent: it has the same conditions and token.
            self._send(pending)
        elif pending.maybe_written:
            pending.on_done(errors.StoreUnavailable(str(result)))
        else:
            pending.on_done(result)

    def _resolve_conflict(self, pending: "_PendingPublish") -> None:
        """Distinguishes a real conflict from a try whose result was lost."""

        def handle_row(result: Any) -> None:
            if not isinstance(result, stores.Row) or result.value is None:
                pending.on_done(errors.StoreUnavailable("result not known"))
                return
            self.apply_if_newer(result.value, result.version)
            if result.value.get("token") == pending.value["token"]:
                pending.on_done(self.current)
            else:
                pending.on_done(self._describe_conflict(pending.base_version))

        self._store.read_row(CONFIG_KEY, handle_row)

    def _describe_conflict(self, base_version: int) -> PublishConflict:
        base = self._history.get(base_version)
        version = self.current.configuration.version
        if base is None:
            return PublishConflict(version=version, keys=[])
        changes = document.compare_documents(base, self.current.documents)
        return PublishConflict(version=version,
                               keys=[change.key for change in changes])


def _changes_guarantees(old: contract.Configuration,
                        new: contract.Configuration) -> bool:
    """Returns whether a publish changes the guarantees of any team.

    Other changes must be possible while the fleet is too small: a drain reduces
    capacity on purpose, and a lost rack must not block unrelated changes.
    """
    before = {name: team.guarantees for name, team in old.teams.items()}
    after = {name: team.guarantees for name, team in new.teams.items()}
    return before != after


def _check_guarantees(workers: fleet.Fleet,
                      configuration: contract.Configuration) -> None:
    findings = guarantee.find_shortfalls(workers,
                                         configuration,
                                         excluded=configuration.drained)
    if findings:
        raise errors.InvalidDocuments.from_findings(findings)


class _PendingPublish:
    """A publish in progress: the rows to write and the tries so far.

    Attributes:
        maybe_written: Whether a try without a result may have taken effect.
    """

    def __init__(self, *, value: dict[str, Any], audit: dict[str, Any],
                 base_version: int, base_row_version: int,
                 on_done: Callable[[Any], None]):
        self.value = value
        self.audit = audit
        self.base_version = base_version
        self.base_row_version = base_row_version
        self.on_done = on_done
        self.tries = 0
        self.maybe_written = False
