"""Tests of the rows that hold the progress of large jobs."""

import random
import zlib

import cbor2
import hypothesis
from hypothesis import strategies
import pytest

from trefoilroad_jobs import changes
from trefoilroad_jobs import intake
from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import progress_rows
from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import site as sites

ROW_BYTES = 65_536
MAX_ROWS = changes.MAX_BATCH_BYTES // ROW_BYTES
WORKERS = 176
BOOT_MS = 1_700_000_000_000
TASKS = 7
DONE_TASKS = set(range(2500))


def _make_job(tasks, steps=1, repeats=0):
    step = workload.Step(tasks=tasks, demand=sites.SMALL_DEMAND)
    return progress.Job(workload=intake.build_workload(sites.QUEUE,
                                                       "team",
                                                       "job",
                                                       "payload",
                                                       (step,) * steps,
                                                       repeats=repeats),
                        now_s=0.0,
                        age_s=0.0)


def _add_claim(job, key, rng):
    """Claims a task as a leader of a large fleet does."""
    worker = rng.randrange(WORKERS)
    step = job.get_step(*key[:2])
    step.last_runs[key[2]] += 1
    step.claims[key[2]] = progress.Claim(key=progress.TaskKey("job", *key),
                                         run=step.last_runs[key[2]],
                                         worker_id=f"i-{worker:010x}",
                                         boot_ms=BOOT_MS + worker * 7919,
                                         phase=progress.Phase.CLAIMING,
                                         now_s=0.0,
                                         started_ms=BOOT_MS +
                                         rng.randrange(3_600_000),
                                         demand=sites.SMALL_DEMAND)


def _encode(job, row_bytes=ROW_BYTES, max_rows=MAX_ROWS):
    encoded = progress_rows.encode_rows(job,
                                        row_bytes=row_bytes,
                                        max_rows=max_rows)
    assert all(len(value) <= row_bytes for value in encoded.values)
    assert len(encoded.values) <= max_rows
    return encoded


def _load(job, values, now_s=0.0):
    """Returns a job whose progress is read from rows."""
    loaded = progress.Job(workload=job.workload, now_s=0.0, age_s=0.0)
    progress_rows.decode_rows(loaded,
                              dict(enumerate(values)),
                              now_s=now_s,
                              store_ms=0.0)
    return loaded


def _describe(job):
    """Returns what of a job must outlive a takeover."""
    return job.state, job.ended_ms, {
        key: (step.done, step.failures, step.checkpoints, step.begun, {
            index: (claim.run, claim.worker_id, claim.boot_ms, claim.started_ms,
                    claim.checkpoint) for index, claim in step.claims.items()
        }, None if step.is_done and not step.claims else step.last_runs
             ) for key, step in job.steps.items()
    }


def test_small_progress_is_encoded_as_before():
    """Guards against larger rows, or more of them, for ordinary jobs.

    Nodes of the release before also read them.
    """
    job = _make_job(100)
    rng = random.Random(1)
    for index in range(100):
        _add_claim(job, (0, 0, index), rng)
    values = _encode(job).values
    assert values == [progress.encode_progress(job)]
    state, ended_ms, steps = cbor2.loads(values[0])
    assert (state, ended_ms) == ("queued", 0.0)
    assert steps[0][:3] == [0, 0, 1]
    assert steps[0][5][0] == [
        0, 1, job.steps[0, 0].claims[0].worker_id,
        job.steps[0, 0].claims[0].boot_ms, job.steps[0, 0].claims[0].started_ms
    ]


def test_10000_claims_fit():
    """Guards against a job that is admitted and cannot be recorded."""
    job = _make_job(workload.MAX_TASKS)
    rng = random.Random(1)
    for index in range(workload.MAX_TASKS):
        _add_claim(job, (0, 0, index), rng)
    encoded = _encode(job)
    assert len(encoded.values) <= 2
    assert _describe(_load(job, encoded.values)) == _describe(
        _load(job, [progress.encode_progress(job)]))


def test_10000_claims_with_checkpoints_and_retries_over_repeats_fit():
    """Guards against a state that grows with each repeat, or with retries."""
    job = _make_job(2500, steps=4, repeats=500)
    rng = random.Random(1)
    for occurrence in range(500):
        for number in range(4):
            step = progress.StepProgress(tasks=2500)
            job.steps[occurrence, number] = step
            if occurrence < 499:
                # Shared to save time; no task of it is changed.
                step.done = DONE_TASKS
                step.begun = True
    job.state = progress.JobState.RUNNING
    for number in range(4):
        step = job.steps[499, number]
        step.begun = True
        for index in range(2500):
            step.last_runs[index] = rng.randrange(1, 4)
            step.failures[index] = step.last_runs[index]
            step.checkpoints[index] = f"ckpt/{rng.randrange(16**16):016x}"
            _add_claim(job, (499, number, index), rng)
    encoded = _encode(job)
    assert encoded.checkpoints_left_out == 0
    loaded = _load(job, encoded.values)
    assert loaded.is_occurrence_done(498)
    assert not loaded.is_occurrence_done(499)
    for number in range(4):
        step, other = job.steps[499, number], loaded.steps[499, number]
        assert other.last_runs == step.last_runs
        assert other.failures == step.failures
        assert other.checkpoints == step.checkpoints
        assert other.claims.keys() == step.claims.keys()


def test_checkpoints_that_do_not_fit_are_left_out():
    """Guards against a job that stops for long checkpoints.

    Without them its tasks begin anew after a takeover, and nothing else.
    """
    job = _make_job(workload.MAX_TASKS)
    rng = random.Random(1)
    step = job.get_step(0, 0)
    for index in range(workload.MAX_TASKS):
        step.checkpoints[index] = f"{rng.randrange(16**200):0200x}"
        _add_claim(job, (0, 0, index), rng)
    encoded = _encode(job)
    assert encoded.checkpoints_left_out == workload.MAX_TASKS
    assert step.checkpoints
    loaded = _load(job, encoded.values)
    assert len(loaded.steps[0, 0].claims) == workload.MAX_TASKS
    assert loaded.steps[0, 0].checkpoints == {}


def test_ended_tasks_need_no_checkpoints():
    """Guards against rows that grow with each task that ends."""
    job = _make_job(3)
    step = job.get_step(0, 0)
    rng = random.Random(1)
    for index in range(3):
        _add_claim(job, (0, 0, index), rng)
        step.claims[index].checkpoint = "saved"
        step.record_checkpoint(step.claims[index])
    step.record_done([1])
    assert step.checkpoints == {0: "saved", 2: "saved"}
    step.record_checkpoint(step.claims[1])
    assert step.checkpoints == {0: "saved", 2: "saved"}
    job.state = progress.JobState.CANCELLED
    assert _load(job, _encode(job).values).steps[0, 0].checkpoints == {}


def test_rows_of_earlier_releases_are_read():
    """Guards against accepted jobs that a new release cannot read."""
    steps = [
        # Without the time of the claim, and with the checkpoint of an end.
        (0, 0, [0, 2, 1], [2], {}, [(1, 2, "w00", 17)], {
            2: "old"
        }),
        # Without the mark of runs that never began.
        (0, 0, [0, 2, 1], [2], {
            0: 1,
            -1: 2
        }, [(1, 2, "w00", 17, 0)], {}),
    ]
    for step_row in steps:
        row = cbor2.dumps(["running", 0.0, [step_row]])
        loaded = _load(_make_job(3), [row])
        step = loaded.steps[0, 0]
        assert step.claims[1].worker_id == "w00"
        assert step.done == {2}
        assert step.checkpoints == {}
        assert step.begun


def _make_large_job():
    """Returns a job whose progress takes several rows of 1,024 bytes."""
    job = _make_job(1000)
    rng = random.Random(1)
    for index in range(0, 1000, 2):
        _add_claim(job, (0, 0, index), rng)
    job.state = progress.JobState.RUNNING
    return job


def test_state_is_read_from_the_first_row():
    """Guards against calls that need all rows for the state of a job."""
    job = _make_large_job()
    values = _encode(job, 1024, 90).values
    assert len(values) > 1
    assert progress.decode_state(values[0]) is progress.JobState.RUNNING


def test_missing_row_is_noticed():
    """Guards against claims that are taken for never made."""
    job = _make_large_job()
    values = _encode(job, 1024, 90).values
    with pytest.raises(ValueError, match="absent"):
        _load(job, values[:-1])


def test_row_of_another_state_is_noticed():
    """Guards against a state that is put together from two."""
    job = _make_large_job()
    before = _encode(job, 1024, 90).values
    _add_claim(job, (0, 0, 1), random.Random(2))
    after = _encode(job, 1024, 90).values
    with pytest.raises(ValueError, match="different states"):
        _load(job, [after[0], before[1], *after[2:]])


def test_row_left_over_from_a_longer_state_is_ignored():
    """Guards against a state that a row left over makes unreadable."""
    job = _make_large_job()
    values = _encode(job, 1024, 90).values
    expected = _describe(_load(job, values))
    assert _describe(_load(job, [*values, b"left over"])) == expected
    small = _make_job(1000)
    plain = _encode(small).values
    assert _describe(_load(small, [*plain, b"left over"])) == _describe(
        _load(small, plain))


@pytest.mark.parametrize("content", [
    b"", b"\xff",
    cbor2.dumps(7),
    cbor2.dumps([]),
    cbor2.dumps(["running"]),
    cbor2.dumps(["running", 0.0, 1, 0, b"no compressed data"]),
    cbor2.dumps(["running", 0.0, 1, "x", 5]),
    cbor2.dumps(["unknown", 0.0, []]),
    cbor2.dumps([
        "running", 0.0, 1,
        zlib.crc32(zlib.compress(b"\x07")),
        zlib.compress(b"\x07")
    ])
])
def test_damaged_first_row_is_reported(content):
    """Guards against an exception that hides which row is damaged."""
    with pytest.raises(ValueError):
        _load(_make_job(3), [content])


def test_keys_of_rows():
    """Guards against rows that are taken for those of another job."""
    rows = [
        ports.Row("0" * 16, b"a", 1),
        ports.Row("0" * 16 + "/1", b"b", 1),
        ports.Row("0" * 16 + "/12", b"c", 1),
        ports.Row("1" * 16, None, 1),
        ports.Row("2" * 16 + "/1", b"d", 1),
    ]
    assert progress_rows.group_rows(rows) == {
        "0" * 16: {
            0: b"a",
            1: b"b",
            12: b"c"
        },
        "2" * 16: {
            1: b"d"
        }
    }


_STEP_ROWS = strategies.builds(
    progress.StepRow,
    occurrence=strategies.integers(0, 3),
    number=strategies.integers(0, 3),
    runs=strategies.integers(0, 3) | strategies.lists(
        strategies.integers(0, 300), min_size=TASKS, max_size=TASKS),
    done=strategies.just(True) | strategies.lists(
        strategies.integers(0, TASKS - 1), unique=True).map(sorted),
    failures=strategies.dictionaries(strategies.integers(-2, TASKS),
                                     strategies.integers(1, 2000)),
    claims=strategies.lists(strategies.tuples(
        strategies.integers(0, TASKS - 1), strategies.integers(1, 300),
        strategies.sampled_from(["w0", "w1"]), strategies.integers(0, 2**41),
        strategies.integers(0, 2**41)),
                            unique_by=lambda claim: claim[0]),
    checkpoints=strategies.dictionaries(strategies.integers(0, TASKS - 1),
                                        strategies.text(max_size=5)))


@hypothesis.given(
    strategies.lists(_STEP_ROWS, unique_by=lambda row: (row[0], row[1])))
def test_compact_steps_are_expanded_to_the_same(steps):
    """Guards against a part of the state that the compact form changes."""
    expected = {}
    for step in steps:
        if step.done is True and not step.claims:
            # What no run of these tasks needs any more is not kept.
            step = step._replace(runs=1, failures={}, checkpoints={})
        expected[step.occurrence,
                 step.number] = step._replace(claims=sorted(step.claims))
    expanded = progress_rows.expand_steps(progress_rows.compact_steps(steps))
    assert {
        (step.occurrence, step.number): step for step in expanded
    } == expected
