"""The configuration in force: reading it, publishing it, its audit trail."""

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

KEY = "config/current"
POLL_INTERVAL_S = 1.0
MAX_COMMIT_TRIES = 4

_log = structlog.get_logger()


class Published(NamedTuple):
    """One version of the documents.

    Attributes:
        configuration: What the documents declare.
        documents: Text by file name.
        row_version: Version of the row `config/current`.
    """

    configuration: contract.Configuration
    documents: Mapping[str, str]
    row_version: int


class PublishConflict(NamedTuple):
    """Somebody else published since the base of a publish.

    Attributes:
        version: Version in force.
        keys: Keys that changed since the base version.
    """

    version: int
    keys: list[str]


NOTHING = Published(configuration=contract.EMPTY, documents={}, row_version=0)
KEPT_VERSIONS = 20


class Publication:
    """Holds the latest configuration; an older one is never taken over."""

    def __init__(self, *, store: stores.Store, timers: timer.Timers,
                 rng: random.Random, on_change: Callable[[Published], None]):
        """Begins to poll.

        Args:
            store: Table service.
            timers: Source of time.
            rng: Source of tokens.
            on_change: Called with each newer version.
        """
        self.current = NOTHING
        self._history: dict[int, Mapping[str, str]] = {0: {}}
        self._store = store
        self._rng = rng
        self._on_change = on_change
        timers.call_every(POLL_INTERVAL_S, self.refresh)

    def refresh(self, then: Callable[[], None] | None = None) -> None:
        """Reads the row; `then` is called whatever the result."""

        def take(result: Any) -> None:
            if isinstance(result, stores.Row) and result.value is not None:
                self.adopt(result.value, result.version)
            if then is not None:
                then()

        self._store.read_row(KEY, take)

    def adopt(self, value: Any, row_version: int) -> None:
        """Takes over a version, from the store or from another node.

        Args:
            value: Value of the row `config/current`.
            row_version: Version of the row.
        """
        if row_version <= self.current.row_version:
            return
        try:
            configuration = document.parse_documents(value["documents"],
                                                     value["version"])
        except (errors.InvalidDocuments, KeyError, TypeError) as error:
            # Published by a newer release, or damaged: the last good version
            # stays, and admissions are refused because the row has changed.
            _log.error("configuration row cannot be read", error=repr(error))
            return
        self.current = Published(configuration=configuration,
                                 documents=value["documents"],
                                 row_version=row_version)
        self._history[configuration.version] = value["documents"]
        self._history.pop(configuration.version - KEPT_VERSIONS, None)
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
        """Publishes a new version, if nobody else has meanwhile.

        Args:
            documents: Text by file name.
            base_version: Version that the operator started from.
            who: Operator, for the audit trail.
            workers: Fleet on which all guarantees must fit.
            on_done: Gets the Published version, or a Clash,
                InvalidDocuments or StoreError.
            action: What the operator does, for the audit trail.
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
        commit = _Commit(value=value,
                         audit=audit,
                         base_version=base_version,
                         base_row_version=self.current.row_version,
                         on_done=on_done)
        self._send(commit)

    def _send(self, commit: "_Commit") -> None:
        commit.tries += 1
        key = f"audit/{commit.value['version']:012d}"
        self._store.commit({KEY: commit.base_row_version}, {
            KEY: commit.value,
            key: commit.audit
        }, lambda result: self._take(commit, result))

    def _take(self, commit: "_Commit", result: Any) -> None:
        if isinstance(result, int):
            self.adopt(commit.value, result)
            commit.on_done(self.current)
        elif isinstance(result, errors.CommitConflict):
            self._resolve(commit)
        elif commit.tries < MAX_COMMIT_TRIES:
            # The same conditions and token make the repeat harmless.
            self._send(commit)
        else:
            commit.on_done(result)

    def _resolve(self, commit: "_Commit") -> None:
        """Tells a clash from the answer of an earlier try that was lost."""

        def take(result: Any) -> None:
            if not isinstance(result, stores.Row) or result.value is None:
                commit.on_done(errors.StoreUnavailable("result not known"))
                return
            self.adopt(result.value, result.version)
            if result.value.get("token") == commit.value["token"]:
                commit.on_done(self.current)
            else:
                commit.on_done(self._describe_conflict(commit.base_version))

        self._store.read_row(KEY, take)

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
    """Tells whether a publish gives teams other guarantees than before.

    Anything else must be possible while machines are missing: a drain takes
    capacity on purpose, and a lost rack must not block other changes.
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


class _Commit:
    """A publish under way."""

    def __init__(self, *, value: dict[str, Any], audit: dict[str, Any],
                 base_version: int, base_row_version: int,
                 on_done: Callable[[Any], None]):
        self.value = value
        self.audit = audit
        self.base_version = base_version
        self.base_row_version = base_row_version
        self.on_done = on_done
        self.tries = 0
