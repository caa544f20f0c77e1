"""Exit codes of the command line."""

import enum

from trefoilroad_client import results
from trefoilroad_core import errors
from trefoilroad_core import request


class Exit(enum.IntEnum):
    """Exit codes, a stable interface for scripts."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    NOT_RUN = 3
    FAILED = 4
    UNKNOWN = 5
    CONFLICT = 6
    PENDING = 7
    CORRUPT = 8
    INTERRUPTED = 130


_EXIT_BY_ERROR: tuple[tuple[type[errors.TrefoilroadError], Exit], ...] = (
    (errors.SettingsError, Exit.USAGE),
    (errors.NotRun, Exit.NOT_RUN),
    (errors.OutcomeUnknown, Exit.UNKNOWN),
    (errors.Unavailable, Exit.UNKNOWN),
    (errors.ProtocolError, Exit.UNKNOWN),
    (errors.KeyReused, Exit.CONFLICT),
    (errors.VersionConflict, Exit.CONFLICT),
    (errors.StillPending, Exit.PENDING),
    (errors.NotCompleted, Exit.PENDING),
    (errors.AnswerCorrupt, Exit.CORRUPT),
)

_EXIT_BY_STATE = {
    request.State.COMPLETED: Exit.OK,
    request.State.FAILED: Exit.FAILED,
    request.State.NOT_RUN: Exit.NOT_RUN,
    request.State.EXPIRED: Exit.NOT_RUN,
}


def get_exit_for_error(error: errors.TrefoilroadError) -> Exit:
    """Returns the exit code of an error."""
    for error_type, code in _EXIT_BY_ERROR:
        if isinstance(error, error_type):
            return code
    return Exit.REFUSED


def get_exit_for_status(status: results.Status) -> Exit:
    """Returns the exit code of a request's state."""
    if status.state is request.State.CANCELLED:
        return Exit.NOT_RUN if status.ran is request.Ran.NO else Exit.FAILED
    return _EXIT_BY_STATE.get(status.state, Exit.PENDING)
