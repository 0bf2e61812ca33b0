"""Run times that are expected of tasks, learned from steps that have ended.

Callers declare a run time for the tasks of a step. Declared times are off by a factor
that differs from step to step, and the tasks of one step differ less among each other
than from their declaration. Two things are therefore learned:

- For each queue and image, how declared times relate to observed ones. A regression of
  the logarithms draws declared times towards the usual ones as far as they are noise.
- For each step, what its own finished tasks show. They count the more, the less the
  tasks of one step differ.

All estimates are shrunk towards the declaration. Without evidence they equal it, and
with little evidence they differ little. Logarithms are to the base 2. Times that are
far off count as ``MAX_RATIO`` times the declaration, so that a few runs that stood
still do not move the estimates.
"""

import math
from dataclasses import dataclass, field
from statistics import NormalDist

from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import QueueName

PRIOR_STEPS = 8.0  # evidence that weighs as much as the declaration
PRIOR_DECLARED_VARIANCE = 0.5  # of the logarithms of declared times in a queue
PRIOR_ERROR_VARIANCE = 0.25  # of the logarithm of a step's time, about its declaration
PRIOR_SPREAD_VARIANCE = 0.15  # of the logarithms of run times within a step
MAX_RATIO = 4.0
MAX_STEPS_REMEMBERED = 400.0  # older evidence fades, as images and sizes change
MAX_SUM = 1e8  # above the squares of all steps remembered, of 10,000 tasks each
MAX_IMAGES = 200  # of a queue; callers choose their names
MIN_RUN_MS = 1.0
WHOLE_QUEUE = ""  # stands for all images of a queue
_MAX_LOG_RATIO = math.log2(MAX_RATIO)
_NORMAL = NormalDist()
_NINE_OF_TEN = _NORMAL.inv_cdf(0.9)


@dataclass(slots=True)
class RunTimeStats:
    """Sums over the ended steps of a queue or an image, with fading weights.

    ``declared`` is the logarithm of a step's declared time, ``error`` that of the
    observed time less it, and ``spread`` the variance within the step.
    """

    steps: float = 0.0
    declared: float = 0.0
    declared_squares: float = 0.0
    error: float = 0.0
    error_squares: float = 0.0
    products: float = 0.0
    spread: float = 0.0
    spread_weight: float = 0.0

    def add(self, declared: float, runs: "ObservedRuns") -> None:
        """Add a step that has ended."""
        error = runs.mean - declared
        self._fade()
        self.steps += 1.0
        self.declared += declared
        self.declared_squares += declared * declared
        self.error += error
        self.error_squares += error * error
        self.products += declared * error
        self.spread += runs.squared_deviations
        self.spread_weight += runs.count - 1.0

    def _fade(self) -> None:
        if self.steps < MAX_STEPS_REMEMBERED:
            return
        for name in self.__slots__:
            setattr(self, name, getattr(self, name) / 2.0)

    @property
    def is_possible(self) -> bool:
        """Return whether some steps could have these sums."""
        sums = [getattr(self, name) for name in self.__slots__]
        squares = (self.declared_squares, self.error_squares, self.spread)
        return (
            0 <= self.steps <= MAX_STEPS_REMEMBERED
            and self.spread_weight >= 0
            and all(square >= 0 for square in squares)
            and all(abs(number) <= MAX_SUM for number in sums)
        )

    @property
    def mean_declared(self) -> float:
        """Return the mean logarithm of the declared times."""
        return self.declared / self.steps if self.steps else 0.0

    @property
    def mean_error(self) -> float:
        """Return the mean logarithm of observed to declared times."""
        return self.error / self.steps if self.steps else 0.0

    @property
    def slope(self) -> float:
        """Return how the error changes with the declaration, at least -1.

        At -1, the declaration says nothing about the observed time.
        """
        deviations = self.declared_squares - self.steps * self.mean_declared**2
        products = self.products - self.mean_declared * self.error
        prior = PRIOR_STEPS * PRIOR_DECLARED_VARIANCE
        return max(-1.0, min(0.0, products / (max(0.0, deviations) + prior)))

    def expected_error(self, declared: float) -> float:
        """Return the error to expect of a step, shrunk towards none."""
        share = self.steps / (self.steps + PRIOR_STEPS)
        return share * self.mean_error + self.slope * (declared - self.mean_declared)

    @property
    def error_variance(self) -> float:
        """Return the variance of a step's time about what is expected of it."""
        left = self.error_squares - self.steps * self.mean_error**2
        products = self.products - self.mean_declared * self.error
        left = max(0.0, left + self.slope * products)
        prior = PRIOR_STEPS * PRIOR_ERROR_VARIANCE
        return (left + prior) / (self.steps + PRIOR_STEPS)

    @property
    def least_share(self) -> float:
        """Return which share of its expected time a step takes in nine of ten cases."""
        certainty = self.steps / (self.steps + PRIOR_STEPS)
        return certainty * 2.0 ** (-_NINE_OF_TEN * math.sqrt(self.error_variance))

    @property
    def spread_variance(self) -> float:
        """Return the variance of the run times within a step."""
        prior = PRIOR_STEPS * PRIOR_SPREAD_VARIANCE
        return (self.spread + prior) / (self.spread_weight + PRIOR_STEPS)

    @property
    def learned_spread(self) -> float:
        """Return the standard deviation within a step, 0 without evidence."""
        weight = self.spread_weight / (self.spread_weight + PRIOR_STEPS)
        return weight * math.sqrt(self.spread_variance)


@dataclass(slots=True)
class ObservedRuns:
    """The logarithms of the run times of a step's finished tasks."""

    declared: float
    count: int = 0
    mean: float = 0.0
    squared_deviations: float = 0.0

    def add(self, run_ms: float) -> None:
        """Add the run time of a task, by Welford's algorithm."""
        value = math.log2(max(MIN_RUN_MS, run_ms))
        error = value - self.declared
        value = self.declared + _bounded(error)
        self.count += 1
        delta = value - self.mean
        self.mean += delta / self.count
        self.squared_deviations += delta * (value - self.mean)


@dataclass(frozen=True, slots=True)
class ExpectedRunTime:
    """What is expected of a step: the time of a task, and of its slowest task.

    Nine steps of ten take at least ``least_share`` of that; it is 0 if not known.
    """

    task_ms: float
    slowest_ms: float
    least_share: float = 0.0


@dataclass(slots=True)
class RunTimeModel:
    """What is known of the run times of the queues and their images.

    An image of which nothing is known is like all others of its queue.
    """

    queues: dict[QueueName, dict[str, RunTimeStats]] = field(default_factory=dict)

    def learn(self, queue: QueueName, step: Step, runs: ObservedRuns) -> None:
        """Learn from the finished tasks of a step that has ended."""
        by_image = self.queues.setdefault(queue, {})
        for image in {WHOLE_QUEUE, step.image}:
            # The images that were seen last are at the end.
            stats = by_image.pop(image, None) or RunTimeStats()
            stats.add(runs.declared, runs)
            by_image[image] = stats
        while len(by_image) > MAX_IMAGES + 1:
            del by_image[next(name for name in by_image if name != WHOLE_QUEUE)]

    def expect(
        self,
        queue: QueueName,
        step: Step,
        runs: ObservedRuns | None = None,
        started: int = 0,
    ) -> ExpectedRunTime:
        """Return what is expected of a step, of which some tasks may have finished.

        The ``started`` tasks include those; the ones that finish first are the
        shorter ones.
        """
        if step.estimate_ms < MIN_RUN_MS or step.is_lasting:
            return ExpectedRunTime(float(step.estimate_ms), float(step.estimate_ms))
        by_image = self.queues.get(queue, {})
        stats = by_image.get(WHOLE_QUEUE, _NOTHING_KNOWN)
        declared = math.log2(step.estimate_ms)
        error = stats.expected_error(declared)
        if step.image and (own := by_image.get(step.image)) is not None:
            error += _image_offset(own, stats)
        if runs is not None and runs.count:
            error += _shown_by_runs(stats, declared + error, runs, started)
        error = _bounded(error)
        quantile = _NORMAL.inv_cdf(step.count / (step.count + 1.0))
        spread = _bounded(stats.learned_spread * quantile)
        return ExpectedRunTime(
            step.estimate_ms * 2.0**error,
            step.estimate_ms * 2.0 ** (error + spread),
            stats.least_share,
        )


_NOTHING_KNOWN = RunTimeStats()


def _bounded(log_ratio: float) -> float:
    return max(-_MAX_LOG_RATIO, min(_MAX_LOG_RATIO, log_ratio))


def _image_offset(own: RunTimeStats, queue: RunTimeStats) -> float:
    """Return by how much an image's times differ from those of its queue."""
    usual = queue.expected_error(own.mean_declared)
    return own.steps / (own.steps + PRIOR_STEPS) * (own.mean_error - usual)


def _shown_by_runs(
    stats: RunTimeStats, expected: float, runs: ObservedRuns, started: int
) -> float:
    """Return by how much a step differs from what was expected, by its own tasks.

    Of the tasks that were started together, the shorter ones finish first. The mean of
    a normal distribution's lower part tells how much shorter they are.
    """
    share = min(1.0, runs.count / max(1, started, runs.count))
    mean = runs.mean
    if share < 1.0:
        density = _NORMAL.pdf(_NORMAL.inv_cdf(share))
        mean += math.sqrt(stats.spread_variance) * density / share
    weight = stats.error_variance
    weight /= weight + stats.spread_variance / runs.count
    return weight * (mean - expected)
