"""Expected run times: learned from ended steps, and from a step's own tasks."""

import random
from dataclasses import replace

import pytest

from corianderpitch.domain.jobs import Shape
from corianderpitch.domain.scheduling.runtimes import (
    MAX_IMAGES,
    WHOLE_QUEUE,
    ObservedRuns,
    RunTimeModel,
)
from corianderpitch.domain.scheduling.workloads import Step
from corianderpitch.ids import QueueName
from corianderpitch_standins import ablation

QUEUE = QueueName("quotes")
STEP = Step(8, Shape(1.0, 100), 1000.0)
SPREAD = 0.3  # of the natural logarithm of run times within a step


def observe(step, times_ms):
    runs = ObservedRuns(step.log_estimate)
    for time_ms in times_ms:
        runs.add(time_ms)
    return runs


def teach(model, steps, seed=1, spread=SPREAD):
    """Teach a model from pairs of a step and the typical time of its tasks."""
    rng = random.Random(seed)
    for step, typical_ms in steps:
        times_ms = [
            typical_ms * rng.lognormvariate(0.0, spread) for _ in range(step.count)
        ]
        model.learn(QUEUE, step, observe(step, times_ms))


def declare(estimate_ms, **fields):
    return replace(STEP, estimate_ms=estimate_ms, **fields)


@pytest.mark.parametrize("estimate_ms", [0.0, 0.5, 1.0, 700.0, 1e15])
def test_without_evidence_the_declaration_is_expected(estimate_ms):
    expected = RunTimeModel().expect(QUEUE, declare(estimate_ms))
    assert (expected.task_ms, expected.slowest_ms) == (estimate_ms, estimate_ms)
    assert expected.least_share == 0.0


def test_other_queues_learn_nothing():
    model = RunTimeModel()
    teach(model, [(STEP, 3000.0)] * 50)
    assert model.expect(QueueName("orders"), STEP).task_ms == STEP.estimate_ms


def test_a_constant_error_of_the_declaration_is_learned():
    model = RunTimeModel()
    rng = random.Random(2)
    estimates = [200.0 * rng.lognormvariate(0.0, 0.6) for _ in range(60)]
    teach(model, [(declare(ms), 2.0 * ms) for ms in estimates])
    for estimate_ms in (100.0, 400.0):
        expected = model.expect(QUEUE, declare(estimate_ms))
        assert expected.task_ms == pytest.approx(2.0 * estimate_ms, rel=0.2)


def test_little_evidence_changes_little():
    model = RunTimeModel()
    teach(model, [(STEP, 2000.0)])
    assert model.expect(QUEUE, STEP).task_ms < 1.2 * STEP.estimate_ms


def test_declarations_that_say_nothing_are_drawn_to_the_usual_time():
    """A job with a low declaration by chance would go before all others."""
    model = RunTimeModel()
    rng = random.Random(3)
    declared = [800.0 * rng.lognormvariate(0.0, 0.8) for _ in range(200)]
    teach(model, [(declare(ms), 800.0) for ms in declared])
    low = model.expect(QUEUE, declare(300.0)).task_ms
    high = model.expect(QUEUE, declare(2000.0)).task_ms
    assert 600.0 < low <= high < 1100.0


def test_declarations_that_are_right_are_believed():
    model = RunTimeModel()
    rng = random.Random(4)
    declared = [800.0 * rng.lognormvariate(0.0, 0.8) for _ in range(200)]
    teach(model, [(declare(ms), ms) for ms in declared])
    for estimate_ms in (300.0, 2000.0):
        expected = model.expect(QUEUE, declare(estimate_ms))
        assert expected.task_ms == pytest.approx(estimate_ms, rel=0.15)
        assert expected.least_share > 0.6


def test_the_slowest_of_many_tasks_is_expected_to_take_longer():
    model = RunTimeModel()
    teach(model, [(STEP, 1000.0)] * 50)
    one, many = (model.expect(QUEUE, declare(1000.0, count=n)) for n in (1, 30))
    assert one.slowest_ms == pytest.approx(one.task_ms)
    assert 1.3 * many.task_ms < many.slowest_ms < 2.5 * many.task_ms


def test_an_image_that_differs_from_its_queue_is_told_apart():
    model = RunTimeModel()
    short, long = declare(1000.0, image="a"), declare(1000.0, image="b")
    teach(model, [(short, 500.0), (long, 2000.0)] * 40)
    assert model.expect(QUEUE, short).task_ms == pytest.approx(500.0, rel=0.3)
    assert model.expect(QUEUE, long).task_ms == pytest.approx(2000.0, rel=0.3)


def test_the_first_tasks_of_a_step_show_that_its_declaration_is_wrong():
    """The rest of the step would be taken for a third of the work that it is."""
    runs = observe(STEP, [3000.0] * 4)
    expected = RunTimeModel().expect(QUEUE, STEP, runs, started=4)
    assert 2000.0 < expected.task_ms < 3300.0


def test_the_tasks_that_finish_first_are_the_shorter_ones():
    """The others of a step would be expected to be as short as these."""
    model = RunTimeModel()
    teach(model, [(STEP, 1000.0)] * 60)
    rng = random.Random(5)
    errors = []
    for _ in range(60):
        times_ms = sorted(1000.0 * rng.lognormvariate(0.0, SPREAD) for _ in range(24))
        runs = observe(declare(1000.0, count=24), times_ms[:4])
        step = declare(1000.0, count=24)
        errors.append(model.expect(QUEUE, step, runs, started=24).task_ms / 1000.0)
    assert 0.9 < sum(errors) / len(errors) < 1.1


def test_tasks_that_stand_still_do_not_move_the_estimates():
    model = RunTimeModel()
    for _ in range(50):
        model.learn(QUEUE, STEP, observe(STEP, [1000.0] * 7 + [3_600_000.0]))
    assert model.expect(QUEUE, STEP).task_ms < 1.3 * STEP.estimate_ms


def test_a_change_of_the_run_times_is_followed():
    model = RunTimeModel()
    teach(model, [(STEP, 1000.0)] * 2000)
    teach(model, [(STEP, 2000.0)] * 600)
    assert model.expect(QUEUE, STEP).task_ms == pytest.approx(2000.0, rel=0.25)


def test_callers_cannot_fill_the_memory_with_names_of_images():
    model = RunTimeModel()
    for number in range(10 * MAX_IMAGES):
        teach(model, [(declare(1000.0, image=f"image{number}"), 1000.0)])
    by_image = model.queues[QUEUE]
    assert len(by_image) == MAX_IMAGES + 1
    assert WHOLE_QUEUE in by_image
    assert f"image{10 * MAX_IMAGES - 1}" in by_image


def test_lasting_tasks_are_expected_as_declared():
    model = RunTimeModel()
    teach(model, [(STEP, 3000.0)] * 50)
    assert model.expect(QUEUE, declare(1000.0, is_lasting=True)).task_ms == 1000.0


def test_more_jobs_are_in_time_where_declarations_are_wrong():
    """Pools that are full for seconds, and declared times wrong by half."""
    names = [variant.name for variant in ablation.VARIANTS]
    shares = {
        name: [
            ablation.run_variant("misdeclared", names.index(name), seed).share_in_time
            for seed in (1, 2, 3)
        ]
        for name in ("full policy", "declared run times only")
    }
    assert sum(shares["full policy"]) > sum(shares["declared run times only"])
