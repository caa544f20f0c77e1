"""Tables and keys in the store."""

from trefoilroad_jobs import ports

INTAKE = "intake"
"""Accepted jobs and cancellations, written by the nodes."""

PROGRESS = "progress"
"""Progress of each job, written by the leader; see progress_rows."""

LEADER_ROW: ports.RowName = ("leader", "leader")
"""Current leader and its epoch."""

HEAD_ROW: ports.RowName = ("head", "head")
"""Epoch and number of the leader's last transaction."""

LEASES = "leases"
"""When the leases of workers have ended, for the next leaders; written by the
leader."""

COUNTS_ROW: ports.RowName = ("counts", "pending")
"""Numbers of waiting jobs, written by the leader; see waiting_counts."""

MAX_KEY_BYTES = 200
"""Longest key that the store accepts."""

JOB_PREFIX = "job/"
CANCEL_PREFIX = "cancel/"
EPOCH_PREFIX = "epoch/"
WORKER_PREFIX = "worker/"


def get_job_row_name(job_id: str) -> ports.RowName:
    """Returns table and key of an accepted job."""
    return INTAKE, JOB_PREFIX + job_id


def get_cancellation_row_name(job_id: str) -> ports.RowName:
    """Returns table and key of a cancellation."""
    return INTAKE, CANCEL_PREFIX + job_id


def get_progress_row_name(job_id: str, number: int = 0) -> ports.RowName:
    """Returns table and key of a row of a job's progress."""
    return PROGRESS, f"{job_id}/{number}" if number else job_id


def split_progress_key(key: str) -> tuple[str, int]:
    """Returns the job and the number of a row of progress."""
    job_id, separator, number = key.rpartition("/")
    if separator and number.isdecimal():
        return job_id, int(number)
    return key, 0


def get_epoch_lease_row_name(epoch: int) -> ports.RowName:
    """Returns table and key of the end of all leases given before an epoch."""
    return LEASES, f"{EPOCH_PREFIX}{epoch}"


def get_worker_lease_row_name(worker_id: str) -> ports.RowName:
    """Returns table and key of the end of a silent worker's leases."""
    return LEASES, WORKER_PREFIX + worker_id
