"""Rows of jobs in the store: their keys, contents and encoding.

A job has a row with what was handed in, at most one row that asks for its
cancelling, and, once it has begun, one with its progress. When it has ended
only the progress row is left, as its final state. The jobs of a queue are spread
over some partitions, so that the loss of one takes away a part of each queue. A
job that its home partition does not take goes to its fallback partition.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field, fields
from typing import Any

import msgpack

from corianderpitch.domain.jobs import JobState, Shape
from corianderpitch.domain.scheduling.progress import ProgressRecord, StepRecord
from corianderpitch.domain.scheduling.workloads import Schedule, Step, Workload
from corianderpitch.ids import JobId, QueueName, VmId, WorkerId
from corianderpitch.ports import PartedKey

JOBS_TABLE = "jobs"
CANCEL_SUFFIX = ".cancel"
PROGRESS_SUFFIX = ".progress"
SCHEDULER_TABLE = "scheduler"
WORKERS_KEY = PartedKey(SCHEDULER_TABLE, "", "workers")
VM_ORDERS_KEY = PartedKey(SCHEDULER_TABLE, "", "vms")
DIVERTED_KEY = PartedKey(SCHEDULER_TABLE, "", "diverted")
JOB_PARTS = 4  # of a queue; more would make counting and taking over slower
PART_SEPARATOR = "/"
RANGE_END = "/"  # sorts behind the dot of every suffix

_STEP_DEFAULTS = {
    each.name: each.default for each in fields(Step) if each.name != "shape"
}


def job_part(queue: QueueName, job_id: JobId) -> str:
    """Return the home partition of a job's rows."""
    return job_places(queue, job_id)[0]


def job_places(queue: QueueName, job_id: JobId) -> tuple[str, str]:
    """Return a job's home partition and its fallback partition.

    The jobs of one home have fallbacks in all other partitions of the queue.

    >>> job_places(QueueName("q"), JobId("5c0e7a21d94b36f8"))
    ('q/0', 'q/2')
    """
    number = zlib.crc32(job_id.encode())
    home = number % JOB_PARTS
    step = 1 + number // JOB_PARTS % (JOB_PARTS - 1)
    parts = job_parts(queue)
    return parts[home], parts[(home + step) % JOB_PARTS]


def job_parts(queue: QueueName) -> tuple[str, ...]:
    """Return all partitions of a queue."""
    return tuple(f"{queue}{PART_SEPARATOR}{n}" for n in range(JOB_PARTS))


def queue_of(part: str) -> QueueName:
    """Return the queue whose jobs a partition holds."""
    return QueueName(part.rpartition(PART_SEPARATOR)[0])


def job_key(part: str, job_id: JobId) -> PartedKey:
    """Return the key of what was handed in."""
    return PartedKey(JOBS_TABLE, part, job_id)


def cancel_key(part: str, job_id: JobId) -> PartedKey:
    """Return the key of a job's cancelling."""
    return PartedKey(JOBS_TABLE, part, job_id + CANCEL_SUFFIX)


def progress_key(part: str, job_id: JobId) -> PartedKey:
    """Return the key of a job's progress."""
    return PartedKey(JOBS_TABLE, part, job_id + PROGRESS_SUFFIX)


def job_keys(part: str, job_id: JobId) -> tuple[PartedKey, ...]:
    """Return the keys of all rows that a job may have in a partition."""
    return (
        job_key(part, job_id),
        progress_key(part, job_id),
        cancel_key(part, job_id),
    )


def split_name(name: str) -> tuple[JobId, str]:
    """Return the job that a row is about, and the suffix of the row's name.

    >>> split_name("5c0e7a21d94b36f8.cancel")
    ('5c0e7a21d94b36f8', '.cancel')
    """
    job_id, dot, suffix = name.partition(".")
    return JobId(job_id), dot + suffix


def ended_job(key: PartedKey) -> JobId:
    """Return the job whose progress a key names."""
    return split_name(key.name)[0]


def pack_job_ids(job_ids: Iterable[JobId]) -> bytes:
    """Encode a set of jobs."""
    return msgpack.packb(sorted(job_ids))


def unpack_job_ids(value: bytes) -> set[JobId]:
    """Decode a set of jobs."""
    return {JobId(name) for name in msgpack.unpackb(value)}


def pack_workers(worker_ids: Iterable[WorkerId]) -> bytes:
    """Encode the workers that a tenure may have given something to."""
    return msgpack.packb(sorted(worker_ids))


def unpack_workers(value: bytes) -> tuple[WorkerId, ...]:
    """Decode the workers that a predecessor may have given something to."""
    return tuple(WorkerId(name) for name in msgpack.unpackb(value))


@dataclass(frozen=True, slots=True)
class VmOrdersRecord:
    """What a successor must know of orders about VMs.

    ``ordered_ms`` holds the store's time of the last order about each VM, as far
    as it is recent; ``begun`` the VMs of each wave that had their maintenance.
    """

    ordered_ms: dict[VmId, float] = field(default_factory=dict)
    begun: dict[int, set[VmId]] = field(default_factory=dict)


def pack_vm_orders(record: VmOrdersRecord) -> bytes:
    """Encode which VMs were ordered about, and which had their maintenance."""
    begun = {wave: sorted(vms) for wave, vms in record.begun.items()}
    return msgpack.packb([record.ordered_ms, begun])


def unpack_vm_orders(value: bytes) -> VmOrdersRecord:
    """Decode what a predecessor has ordered."""
    ordered_ms, begun = msgpack.unpackb(value, strict_map_key=False)
    return VmOrdersRecord(
        {VmId(vm): at_ms for vm, at_ms in ordered_ms.items()},
        {wave: {VmId(vm) for vm in vms} for wave, vms in begun.items()},
    )


def pack_workload(workload: Workload, accepted_ms: float) -> bytes:
    """Encode a job with the store's time of its acceptance."""
    schedule = workload.schedule
    return msgpack.packb(
        [
            workload.text,
            [_pack_step(step) for step in workload.steps],
            [schedule.repeats, schedule.start_ms, schedule.period_ms],
            accepted_ms,
        ]
    )


def unpack_workload(key: PartedKey, value: bytes) -> tuple[Workload, float]:
    """Decode a job and the store's time of its acceptance."""
    text, steps, schedule, accepted_ms = msgpack.unpackb(value)
    workload = Workload(
        JobId(key.name),
        queue_of(key.part),
        text,
        tuple(_unpack_step(step) for step in steps),
        Schedule(*schedule),
    )
    return workload, accepted_ms


def _pack_step(step: Step) -> dict[str, Any]:
    """Encode what differs from the defaults."""
    shape = step.shape
    packed: dict[str, Any] = {
        "shape": [shape.processors, shape.memory_mb, shape.accelerators]
    }
    for name, default in _STEP_DEFAULTS.items():
        value = getattr(step, name)
        if value != default:
            packed[name] = value
    return packed


def _unpack_step(packed: dict[str, Any]) -> Step:
    packed["shape"] = Shape(*packed["shape"])
    packed["after"] = tuple(packed.get("after", ()))
    return Step(**packed)


def pack_progress(record: ProgressRecord) -> bytes:
    """Encode a job's progress."""
    steps = [
        [*place, list(s.done), s.failed, s.checkpoints, s.placed]
        for place, s in record.steps.items()
    ]
    return msgpack.packb([record.state.value, record.finished, steps, record.ended_ms])


def unpack_progress(value: bytes) -> ProgressRecord:
    """Decode a job's progress."""
    state, finished, packed, ended_ms = msgpack.unpackb(value, strict_map_key=False)
    steps = {
        (occurrence, number): StepRecord(
            tuple(done),
            {index: tuple(numbers) for index, numbers in failed.items()},
            checkpoints,
            {index: tuple(workers) for index, workers in placed.items()},
        )
        for occurrence, number, done, failed, checkpoints, placed in packed
    }
    return ProgressRecord(JobState(state), finished, steps, ended_ms)
