"""Estimates run times and sizes of jobs from earlier runs and jobs."""

from trefoilroad_jobs import workload

# One accelerator counts as this many cores, as in the users' price lists.
CORES_PER_ACCELERATOR = 8
# Smallest weight of a new sample in a running mean.
MEAN_SMOOTHING = 0.15
# Number of samples at which the mean has the same weight as the declaration.
TRUSTED_SAMPLES = 4
# Estimate without a declaration and without samples.
DEFAULT_RUN_TIME_MS = 5_000.0


def count_core_equivalents(demand: workload.Demand) -> float:
    """Returns a demand as a number of cores; accelerators are converted."""
    return (demand.milli_cores / 1000.0 +
            demand.accelerators * CORES_PER_ACCELERATOR)


class _RunningMean:
    """Exponentially weighted mean; the plain mean of the first samples."""

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0

    def add(self, value: float) -> None:
        self.samples += 1
        weight = max(MEAN_SMOOTHING, 1.0 / self.samples)
        self.value += weight * (value - self.value)


class Estimator:
    """Estimates run times by queue, and how large a job is for its queue."""

    def __init__(self) -> None:
        self._run_time_by_queue: dict[str, _RunningMean] = {}
        self._work_by_queue: dict[str, _RunningMean] = {}

    def record_run(self, queue: str, seconds: float) -> None:
        """Records the run time of a completed task.

        Args:
            queue: Name of the queue of the job.
            seconds: Run time.
        """
        self._run_time_by_queue.setdefault(queue,
                                           _RunningMean()).add(seconds * 1000.0)

    def record_job(self, job: workload.Workload) -> None:
        """Records the size of an accepted job."""
        self._work_by_queue.setdefault(job.queue, _RunningMean()).add(
            self.compute_work_core_s(job))

    def estimate_run_ms(self, queue: str, step: workload.Step) -> float:
        """Returns the expected run time of a task in milliseconds.

        Declared run times are wrong by a factor that is about as often too
        large as too small, so the declared and the mean measured run time are
        combined by a weighted geometric mean.
        """
        mean = self._run_time_by_queue.get(queue)
        declared = float(step.estimate_ms)
        if mean is None:
            return declared or DEFAULT_RUN_TIME_MS
        if not declared:
            return mean.value
        weight = mean.samples / (mean.samples + TRUSTED_SAMPLES)
        return float(declared**(1.0 - weight) * mean.value**weight)

    def estimate_critical_path_ms(self, job: workload.Workload) -> float:
        """Returns the expected critical path of a job in milliseconds."""
        ends: list[float] = []
        for step in job.steps:
            begin = max((ends[i] for i in step.after), default=0.0)
            ends.append(begin + self.estimate_run_ms(job.queue, step))
        return max(ends)

    def compute_work_core_s(self, job: workload.Workload) -> float:
        """Returns the expected core-seconds of one occurrence of a job."""
        return sum(
            count_core_equivalents(step.demand) * step.tasks *
            self.estimate_run_ms(job.queue, step) / 1000.0
            for step in job.steps)

    def compare_size(self, job: workload.Workload) -> float:
        """Returns the core-seconds of a job relative to its queue's mean."""
        mean = self._work_by_queue.get(job.queue)
        if mean is None or mean.value <= 0.0:
            return 1.0
        return self.compute_work_core_s(job) / mean.value
