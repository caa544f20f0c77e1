"""Run times and sizes of jobs, learnt from what has ended."""

from trefoilroad_jobs import workload

# An accelerator is weighed as this many cores, as the users' prices do.
CORES_PER_ACCELERATOR = 8
# Weight of the newest observation in a running mean.
SMOOTHING = 0.15
# Observations after which the learnt mean counts as much as the declaration.
TRUSTED_SAMPLES = 4
# Without any knowledge.
DEFAULT_MS = 5_000.0


def count_core_equivalents(demand: workload.Demand) -> float:
    """Returns a demand in cores."""
    return (demand.milli_cores / 1000.0 +
            demand.accelerators * CORES_PER_ACCELERATOR)


class _Mean:
    """A running mean."""

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0

    def add(self, value: float) -> None:
        self.samples += 1
        share = max(SMOOTHING, 1.0 / self.samples)
        self.value += share * (value - self.value)


class Estimator:
    """Estimates run times by queue, and how large a job is for its queue."""

    def __init__(self) -> None:
        self._runs: dict[str, _Mean] = {}
        self._works: dict[str, _Mean] = {}

    def note_run(self, queue: str, seconds: float) -> None:
        """Takes the run time of a task that has ended as done."""
        self._runs.setdefault(queue, _Mean()).add(seconds * 1000.0)

    def record_job(self, job: workload.Workload) -> None:
        """Takes the size of a job that was accepted."""
        self._works.setdefault(job.queue,
                               _Mean()).add(self.compute_work_core_s(job))

    def estimate_run_ms(self, queue: str, step: workload.Step) -> float:
        """Returns the expected run time of a task in milliseconds.

        Declarations are off by a factor that is about the same either way,
        so they are joined with what was observed by the geometric mean.
        """
        mean = self._runs.get(queue)
        declared = float(step.estimate_ms)
        if mean is None:
            return declared or DEFAULT_MS
        if not declared:
            return mean.value
        share = mean.samples / (mean.samples + TRUSTED_SAMPLES)
        return float(declared**(1.0 - share) * mean.value**share)

    def estimate_chain_ms(self, job: workload.Workload) -> float:
        """Returns the expected length of the longest chain of steps."""
        ends: list[float] = []
        for step in job.steps:
            begin = max((ends[i] for i in step.after), default=0.0)
            ends.append(begin + self.estimate_run_ms(job.queue, step))
        return max(ends)

    def compute_work_core_s(self, job: workload.Workload) -> float:
        """Returns the declared core-seconds of one occurrence."""
        return sum(
            count_core_equivalents(step.demand) * step.tasks *
            self.estimate_run_ms(job.queue, step) / 1000.0
            for step in job.steps)

    def compare_size(self, job: workload.Workload) -> float:
        """Returns the size of a job relative to the mean of its queue."""
        mean = self._works.get(job.queue)
        if mean is None or mean.value <= 0.0:
            return 1.0
        return self.compute_work_core_s(job) / mean.value
