"""Tests of the leader's chain of transactions."""

import random

import pytest

from trefoilroad_jobs import changes
from trefoilroad_jobs import intake
from trefoilroad_jobs import ledger as ledgers
from trefoilroad_jobs import ports
from trefoilroad_jobs import progress
from trefoilroad_jobs import tables
from trefoilroad_jobs import workload
from trefoilroad_standins.jobs import site as sites

ROW_BYTES = 4096
REFUSED = ports.StoreFailed("status 400", maybe_written=False, permanent=True)
BUSY = ports.StoreFailed("unavailable", maybe_written=False)


class _Timers:
    """Timers on a clock that the test advances."""

    def __init__(self):
        self.now_s = 100.0
        self._due = []

    def read_clock(self):
        return self.now_s

    def call_later(self, delay_s, callback):
        self._due.append((self.now_s + delay_s, callback))

    def call_every(self, interval_s, callback):

        def call():
            callback()
            self.call_later(interval_s, call)

        self.call_later(interval_s, call)
        return self

    def cancel(self):
        pass

    def run(self, seconds):
        end_s = self.now_s + seconds
        while True:
            due = [entry for entry in self._due if entry[0] <= end_s]
            if not due:
                break
            entry = min(due, key=lambda entry: entry[0])
            self._due.remove(entry)
            self.now_s = max(self.now_s, entry[0])
            entry[1]()
        self.now_s = end_s


class _Store:
    """Store that checks its limits and refuses what the test says.

    Attributes:
        rows: Contents of the rows.
        calls: Puts and removals of each transaction.
        refuses: Decides for a transaction whether it is refused for good.
        held: Whether transactions get no reply until `reply` is called.
    """

    def __init__(self, timers):
        self.rows = {}
        self.calls = []
        self.refuses = lambda puts, removals: False
        self.held = False
        self._timers = timers
        self._version = 1
        self._replies = []

    def commit(self, *, conditions, puts, removals, on_done):
        assert len(conditions) + len(puts) + len(removals) <= 100
        assert max(map(len, puts.values())) <= ROW_BYTES
        assert sum(map(len, puts.values())) * 4 / 3 < 1_000_000
        assert conditions == {tables.HEAD_ROW: self._version}
        self.calls.append((dict(puts), list(removals)))

        def reply():
            if self.refuses(puts, removals):
                on_done(REFUSED)
                return
            self.rows.update(puts)
            for name in removals:
                self.rows.pop(name, None)
            self._version += 1
            on_done(ports.Committed(self._version, self._timers.now_s * 1000))

        if self.held:
            self._replies.append(reply)
        else:
            self._timers.call_later(0.008, reply)

    def reply(self):
        replies, self._replies = self._replies, []
        for reply in replies:
            reply()

    def list_keys(self):
        return sorted(key for table, key in self.rows if table != "head")


@pytest.fixture
def timers():
    return _Timers()


@pytest.fixture
def store(timers):
    return _Store(timers)


@pytest.fixture
def ledger(timers, store):
    return ledgers.Ledger(store=store,
                          timers=timers,
                          epoch=1,
                          head_version=1,
                          claimed_s=timers.now_s,
                          row_bytes=ROW_BYTES,
                          on_newer_leader=lambda why: pytest.fail(why))


def _make_job(job_id, tasks=1, seed=1):
    """Returns a job of which all tasks are claimed, at irregular times."""
    step = workload.Step(tasks=tasks, demand=sites.SMALL_DEMAND)
    job = progress.Job(workload=intake.build_workload(sites.QUEUE, "team",
                                                      job_id, "payload",
                                                      (step,)),
                       now_s=0.0,
                       age_s=0.0)
    rng = random.Random(seed)
    step_progress = job.get_step(0, 0)
    for index in range(tasks):
        step_progress.last_runs[index] = 1
        step_progress.claims[index] = progress.Claim(
            key=progress.TaskKey(job_id, 0, 0, index),
            run=1,
            worker_id=f"i-{rng.randrange(176):010x}",
            boot_ms=17,
            phase=progress.Phase.CLAIMING,
            now_s=0.0,
            started_ms=rng.randrange(2**30),
            demand=sites.SMALL_DEMAND)
    return job


def _refuse_key(store, key):
    store.refuses = lambda puts, removals: any(name[1] == key
                                               for name in [*puts, *removals])


def _subject(job):
    return tables.get_progress_row_name(job.job_id)


def test_jobs_of_some_hundred_tasks_are_written_in_short_transactions(
        ledger, store, timers):
    """Guards against a leader that is replaced while it writes.

    After a takeover most jobs change at once. Over a link of 5 Mbit/s the
    largest transaction took longer than the time without which it is replaced.
    """
    done = []
    for number in range(80):
        job = _make_job(f"{number:016x}", tasks=400, seed=number)
        ledger.mark_dirty(job)
        ledger.call_after(lambda: done.append(1), _subject(job))
    timers.run(1.0)
    assert len(done) == 80
    sizes = [sum(map(len, puts.values())) for puts, _ in store.calls]
    assert sum(sizes) > 200_000
    assert max(sizes) <= 160_000


def test_small_jobs_share_one_transaction(ledger, store, timers):
    """Guards against more calls or bytes for ordinary jobs; both are priced."""
    jobs = [_make_job(f"{number:016x}") for number in range(80)]
    done = []
    for job in jobs:
        ledger.mark_dirty(job)
        ledger.call_after(lambda: done.append(1), _subject(job))
    timers.run(0.1)
    assert len(done) == 80
    assert len(store.calls) == 1
    puts, removals = store.calls[0]
    assert removals == []
    assert puts == {
        _subject(job): progress.encode_progress(job) for job in jobs
    } | {
        tables.HEAD_ROW: ledgers.encode_head(ledgers.Head(1, 1))
    }


def test_large_jobs_share_no_transaction_beyond_its_limits(
        ledger, store, timers):
    """Guards against a transaction of several jobs that the store refuses."""
    jobs = [_make_job(f"{number:016x}", 4000, number) for number in range(30)]
    done = []
    for job in jobs:
        ledger.mark_dirty(job)
    ledger.call_after(lambda: done.append(1))
    timers.run(1.0)
    assert done
    assert len(store.calls) < 30
    for job in jobs:
        assert (tables.PROGRESS, f"{job.job_id}/1") in store.rows


def test_jobs_that_change_all_the_time_delay_no_callback(ledger, store, timers):
    """Guards against starts that wait until no job has changes any more."""
    jobs = [_make_job(f"{number:016x}", 20_000, number) for number in range(4)]

    def mark_all():
        for job in jobs:
            ledger.mark_dirty(job)
        timers.call_later(0.001, mark_all)

    mark_all()
    timers.run(0.1)
    done = []
    ledger.call_after(lambda: done.append(1))
    timers.run(0.2)
    assert done


def test_rows_of_a_longer_state_are_removed_with_the_shorter(
        ledger, store, timers):
    """Guards against rows left over, which a later state could take for its."""
    job = _make_job("a" * 16, 4000)
    ledger.mark_dirty(job)
    timers.run(0.1)
    count = len(store.list_keys())
    assert count > 1
    job.get_step(0, 0).claims.clear()
    ledger.mark_dirty(job)
    timers.run(0.1)
    assert store.list_keys() == ["a" * 16]
    assert len(store.calls[-1][1]) == count - 1


def test_recovered_rows_are_removed_with_the_job(ledger, store, timers):
    """Guards against rows that stay for good after a takeover."""
    for number in range(3):
        name = tables.get_progress_row_name("a" * 16, number)
        store.rows[name] = b"old"
    ledger.recover_row_counts({"a" * 16: 3})
    ledger.remove_progress("a" * 16)
    timers.run(0.1)
    assert store.list_keys() == []


def test_changes_of_a_refused_transaction_are_sent_apart(ledger, store, timers):
    """Guards against jobs that wait for ever for one that is refused."""
    jobs = [_make_job(f"{number:016x}") for number in range(50)]
    bad = jobs[20]
    _refuse_key(store, bad.job_id)
    done = []
    for job in jobs:
        ledger.mark_dirty(job)
        ledger.call_after(lambda job=job: done.append(job.job_id),
                          _subject(job))
    timers.run(0.9)
    assert set(done) == {job.job_id for job in jobs} - {bad.job_id}
    assert ledger.list_set_aside() == [bad]
    assert ledger.is_set_aside(bad.job_id)
    assert not ledger.is_set_aside(jobs[0].job_id)
    assert not ledger.store_failing


def test_refused_job_is_tried_again_apart_and_seldom(ledger, store, timers):
    """Guards against a refusal that is repeated without end."""
    bad = _make_job("b" * 16)
    _refuse_key(store, bad.job_id)
    ledger.mark_dirty(bad)
    timers.run(60.0)
    tries = [puts for puts, _ in store.calls if _subject(bad) in puts]
    assert 3 <= len(tries) < 15
    assert all(len(puts) == 2 for puts in tries)
    done = []
    ledger.call_after(lambda: done.append(1), _subject(bad))
    timers.run(1.0)
    assert not done
    store.refuses = lambda puts, removals: False
    timers.run(changes.RETRY_MAX_S + 1.0)
    assert done == [1]
    assert not ledger.list_set_aside()
    assert store.rows[_subject(bad)] == progress.encode_progress(bad)


def test_change_during_a_retry_is_written_too(ledger, store, timers):
    """Guards against a change that is lost between a retry and its reply."""
    bad = _make_job("b" * 16)
    _refuse_key(store, bad.job_id)
    ledger.mark_dirty(bad)
    timers.run(0.5)
    store.refuses = lambda puts, removals: False
    store.held = True
    timers.run(1.0)
    # Whatever is under way is answered until the retry itself is.
    while _subject(bad) not in store.calls[-1][0]:
        store.reply()
        timers.run(0.3)
    bad.get_step(0, 0).record_done([0])
    ledger.mark_dirty(bad)
    done = []
    ledger.call_after(lambda: done.append(1), _subject(bad))
    store.reply()
    assert not done
    store.held = False
    timers.run(0.1)
    store.reply()
    timers.run(0.1)
    assert done == [1]
    assert store.rows[_subject(bad)] == progress.encode_progress(bad)


def test_job_too_long_for_a_transaction_stops_no_other(ledger, store, timers):
    """Guards against a transaction that can never be written."""
    huge = _make_job("c" * 16, 200_000)
    other = _make_job("d" * 16)
    done = []
    for job in (huge, other):
        ledger.mark_dirty(job)
        ledger.call_after(lambda job=job: done.append(job.job_id),
                          _subject(job))
    timers.run(0.5)
    assert done == [other.job_id]
    assert ledger.is_set_aside(huge.job_id)
    huge.get_step(0, 0).claims.clear()
    ledger.mark_dirty(huge)
    timers.run(3.0)
    assert done == [other.job_id, huge.job_id]


def test_job_that_cannot_be_encoded_stops_no_other(ledger, store, timers):
    """Guards against one text that stops all writes of each leader.

    The head row was not written either, so the lead passed from node to node.
    """
    bad, other = _make_job("c" * 16), _make_job("d" * 16)
    bad.get_step(0, 0).checkpoints[0] = "\ud800"
    done = []
    for job in (bad, other):
        ledger.mark_dirty(job)
        ledger.call_after(lambda job=job: done.append(job.job_id),
                          _subject(job))
    timers.run(0.5)
    assert done == [other.job_id]
    assert ledger.list_set_aside() == [bad]
    calls = len(store.calls)
    timers.run(10.0)
    assert len(store.calls) >= calls + 20
    del bad.get_step(0, 0).checkpoints[0]
    ledger.mark_dirty(bad)
    timers.run(changes.RETRY_MAX_S)
    assert done == [other.job_id, bad.job_id]
    assert store.rows[_subject(bad)] == progress.encode_progress(bad)
    assert not ledger.list_set_aside()


def test_deferred_row_that_cannot_be_encoded_stops_no_other(
        ledger, store, timers):
    """Guards against a row without callbacks that stops all writes."""

    class _Bad(changes.RowSource):

        def encode_row(self):
            raise ValueError("out of range")

    other = _make_job("d" * 16)
    ledger.write_row_deferred(tables.COUNTS_ROW, _Bad())
    ledger.mark_dirty(other)
    timers.run(5.0)
    assert store.rows[_subject(other)] == progress.encode_progress(other)
    assert tables.COUNTS_ROW not in store.rows
    calls = len(store.calls)
    timers.run(10.0)
    assert len(store.calls) >= calls + 20


def test_refused_removal_holds_what_waits_for_it(ledger, store, timers):
    """Guards against leases that are given beside a row that denies them."""
    name = tables.get_worker_lease_row_name("w00")
    _refuse_key(store, name[1])
    held, done = [], []
    ledger.write_row(name, None)
    ledger.call_after(lambda: held.append(1), name)
    ledger.call_after(lambda: done.append(1))
    timers.run(0.5)
    assert (held, done) == ([], [1])
    store.refuses = lambda puts, removals: False
    timers.run(changes.RETRY_MAX_S)
    assert held == [1]


def test_refused_head_row_counts_as_a_failing_store(ledger, store, timers):
    """Guards against a leader that goes on although it cannot write at all."""
    store.refuses = lambda puts, removals: True
    ledger.mark_dirty(_make_job("b" * 16))
    done = []
    ledger.call_after(lambda: done.append(1))
    timers.run(3.0)
    assert ledger.store_failing
    assert ledger.is_store_refusing()
    assert not done
    assert len(store.calls) < 20
    store.refuses = lambda puts, removals: False
    timers.run(15.0)
    assert not ledger.store_failing
    assert done == [1]
    assert store.list_keys() == ["b" * 16]


def test_busy_store_gets_the_same_transaction_again(ledger, store, timers):
    """Guards against changes that are set aside while the store is down."""
    replies = []
    commit = store.commit
    store.commit = lambda **call: replies.append(call["on_done"])
    ledger.mark_dirty(_make_job("b" * 16))
    timers.run(0.1)
    replies[0](BUSY)
    assert not ledger.list_set_aside()
    store.commit = commit
    timers.run(0.5)
    assert store.list_keys() == ["b" * 16]


def test_removed_job_is_not_tried_again(ledger, store, timers):
    """Guards against a row that a retry writes after its job was removed."""
    bad = _make_job("b" * 16)
    _refuse_key(store, bad.job_id)
    ledger.mark_dirty(bad)
    timers.run(0.5)
    store.refuses = lambda puts, removals: False
    ledger.remove_progress(bad.job_id)
    timers.run(30.0)
    assert store.list_keys() == []
    assert not ledger.list_set_aside()


def test_deferred_job_is_written_with_the_next_transaction(
        ledger, store, timers):
    """Guards against a transaction for each job that begins, or for none."""
    timers.run(0.01)
    calls = len(store.calls)
    job = _make_job("0" * 16)
    ledger.mark_deferred(job)
    timers.run(0.05)
    assert len(store.calls) == calls
    other = _make_job("1" * 16)
    ledger.mark_dirty(other)
    timers.run(0.05)
    assert len(store.calls) == calls + 1
    assert _subject(job) in store.rows
    ledger.mark_deferred(job)
    timers.run(2 * ledgers.HEAD_RENEWAL_INTERVAL_S)
    assert any(_subject(job) in puts for puts, _ in store.calls[calls + 1:])


def test_deferred_jobs_delay_no_callback(ledger, store, timers):
    """Guards against starts that wait until many begun jobs are written."""
    timers.run(0.01)
    for number in range(400):
        ledger.mark_deferred(_make_job(f"{number:016x}"))
    calls = len(store.calls)
    done = []
    ledger.mark_dirty(_make_job("f" * 16))
    ledger.call_after(lambda: done.append(len(store.calls)))
    timers.run(5.0)
    assert done == [calls + 1]
    assert len(store.list_keys()) == 401


class _Clock(changes.RowSource):
    """Content that tells when it was encoded."""

    def __init__(self, timers):
        self._timers = timers

    def encode_row(self):
        return f"{self._timers.now_s:.1f}".encode()


def test_deferred_row_has_its_content_as_of_the_transaction(
        ledger, store, timers):
    """Guards against rows that are old when they are written."""
    timers.run(0.01)
    calls = len(store.calls)
    ledger.write_row_deferred(("table", "key"), _Clock(timers))
    timers.run(0.2)
    assert len(store.calls) == calls
    ledger.mark_dirty(_make_job("0" * 16))
    timers.run(0.05)
    assert len(store.calls) == calls + 1
    assert store.rows["table", "key"] == b"100.2"


def test_earliest_store_time_does_not_count_the_way_to_the_store(
        ledger, store, timers):
    """Guards against ages that are too low by the duration of a call."""
    timers.run(0.01)
    store.held = True
    ledger.mark_dirty(_make_job("0" * 16))
    timers.run(1.0)
    store.reply()
    timers.run(0.1)
    assert ledger.read_earliest_store_ms() == pytest.approx(timers.now_s * 1000)
    assert ledger.read_store_ms() == pytest.approx(timers.now_s * 1000 + 1000)
