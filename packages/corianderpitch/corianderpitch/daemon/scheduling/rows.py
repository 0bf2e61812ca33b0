"""Rows of jobs in the store: their keys, contents and encoding.

A job has a row with its workload as submitted, at most one cancel row (see
``cancelling``) and, once it has started, a progress row. After its end only the
progress row remains; it holds the final state. The jobs of each queue are spread over
``PARTITIONS_PER_QUEUE`` partitions, so that the loss of a partition affects only a part
of each queue. A job that cannot be stored in its home partition is stored in its
fallback partition.
"""

import functools
import math
import zlib
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import astuple, dataclass, field, fields, replace
from typing import Any, ParamSpec, TypeVar

import msgpack

from corianderpitch.domain.jobs import JobState, Shape
from corianderpitch.domain.scheduling.indexes import IndexSet
from corianderpitch.domain.scheduling.progress import (
    Placement,
    ProgressRecord,
    StepRecord,
)
from corianderpitch.domain.scheduling.runtimes import WHOLE_QUEUE, RunTimeStats
from corianderpitch.domain.scheduling.workloads import (
    AdvicePolicy,
    Queue,
    Schedule,
    Step,
    Workload,
)
from corianderpitch.errors import MalformedData
from corianderpitch.ids import (
    JobId,
    QueueName,
    ServiceName,
    TeamName,
    VmId,
    WorkerId,
)
from corianderpitch.ports import PartitionedKey

JOBS_TABLE = "jobs"
CANCEL_SUFFIX = ".cancel"
PROGRESS_SUFFIX = ".progress"
SCHEDULER_TABLE = "scheduler"
WORKERS_KEY = PartitionedKey(SCHEDULER_TABLE, "", "workers")
VM_ORDERS_KEY = PartitionedKey(SCHEDULER_TABLE, "", "vms")
DIVERTED_KEY = PartitionedKey(SCHEDULER_TABLE, "", "diverted")
PARTITIONS_PER_QUEUE = 4  # more partitions would slow down counting and takeovers
PARTITION_SEPARATOR = "/"
RUN_TIMES_TABLE = "runtimes"
INTAKE_TABLE = "intake"
EARLY_CANCELS_TABLE = "early"
LIMITS_TABLE = "limits"
CLOSED_NAME = "full"
RANGE_END = "/"  # sorts after the dot that begins every suffix

_STEP_DEFAULTS = {
    item.name: item.default for item in fields(Step) if item.name != "shape"
}


COMPRESS_MIN_BYTES = 16_384
MAX_UNPACKED_BYTES = 16_000_000
STATE_BYTES = 64  # more than a record needs until after its state
_TEAM_POSITIONS = {"": 5, PROGRESS_SUFFIX: 4}  # the field of a row that holds it
_COMPRESSED = b"\xc1"  # no value of msgpack begins with it

# The errors by which decoding or unpacking a value of another kind can fail.
_DECODING_ERRORS = (
    ValueError,
    TypeError,
    AttributeError,
    LookupError,
    zlib.error,
    msgpack.UnpackException,
)

Decoded = TypeVar("Decoded")
Arguments = ParamSpec("Arguments")


def _decodes(
    what: str,
) -> Callable[[Callable[Arguments, Decoded]], Callable[Arguments, Decoded]]:
    """Return a decorator of a function that decodes ``what``.

    The function raises ``MalformedData`` for a value that it cannot decode.
    """

    def decorate(decode: Callable[Arguments, Decoded]) -> Callable[Arguments, Decoded]:
        @functools.wraps(decode)
        def decode_checked(*args: Arguments.args, **kwargs: Arguments.kwargs):
            try:
                return decode(*args, **kwargs)
            except _DECODING_ERRORS as error:
                raise MalformedData(f"not {what}") from error

        return decode_checked

    return decorate


def home_partition(queue: QueueName, job_id: JobId) -> str:
    """Return the home partition of a job's rows."""
    return job_partitions(queue, job_id)[0]


def job_partitions(queue: QueueName, job_id: JobId) -> tuple[str, str]:
    """Return a job's home partition and its fallback partition.

    The fallbacks of the jobs in one home partition are spread over all other
    partitions of the queue.

    >>> job_partitions(QueueName("q"), JobId("5c0e7a21d94b36f8"))
    ('q/0', 'q/2')
    """
    number = zlib.crc32(job_id.encode())
    home = number % PARTITIONS_PER_QUEUE
    step = 1 + number // PARTITIONS_PER_QUEUE % (PARTITIONS_PER_QUEUE - 1)
    parts = queue_partitions(queue)
    return parts[home], parts[(home + step) % PARTITIONS_PER_QUEUE]


def queue_partitions(queue: QueueName) -> tuple[str, ...]:
    """Return all partitions of a queue."""
    return tuple(
        f"{queue}{PARTITION_SEPARATOR}{n}" for n in range(PARTITIONS_PER_QUEUE)
    )


def queue_of(part: str) -> QueueName:
    """Return the queue whose jobs a partition holds."""
    return QueueName(part.rpartition(PARTITION_SEPARATOR)[0])


def job_key(part: str, job_id: JobId) -> PartitionedKey:
    """Return the key of the row with a job's workload."""
    return PartitionedKey(JOBS_TABLE, part, job_id)


def cancel_key(part: str, job_id: JobId) -> PartitionedKey:
    """Return the key of a job's cancel row."""
    return PartitionedKey(JOBS_TABLE, part, job_id + CANCEL_SUFFIX)


def progress_key(part: str, job_id: JobId) -> PartitionedKey:
    """Return the key of a job's progress row."""
    return PartitionedKey(JOBS_TABLE, part, job_id + PROGRESS_SUFFIX)


def job_keys(part: str, job_id: JobId) -> tuple[PartitionedKey, ...]:
    """Return the keys of all rows that a job may have in a partition."""
    return (
        job_key(part, job_id),
        progress_key(part, job_id),
        cancel_key(part, job_id),
    )


def closed_key(table: str, part: str) -> PartitionedKey:
    """Return the key of the row that exists while a partition takes no more.

    In ``INTAKE_TABLE`` it is for jobs, in ``EARLY_CANCELS_TABLE`` for cancellations of
    jobs that are not stored.
    """
    return PartitionedKey(table, part, CLOSED_NAME)


def limit_key(part: str, team: TeamName) -> PartitionedKey:
    """Return the key of the row that limits a team's jobs in a partition."""
    return PartitionedKey(LIMITS_TABLE, part, team)


def run_times_key(queue: QueueName) -> PartitionedKey:
    """Return the key of the row with the learned run times of a queue."""
    return PartitionedKey(RUN_TIMES_TABLE, "", queue)


def split_row_name(name: str) -> tuple[JobId, str]:
    """Split the name of a row into the job's id and the suffix.

    >>> split_row_name("5c0e7a21d94b36f8.cancel")
    ('5c0e7a21d94b36f8', '.cancel')
    """
    job_id, dot, suffix = name.partition(".")
    return JobId(job_id), dot + suffix


def is_job_key(key: PartitionedKey) -> bool:
    """Return whether a key is one that a row of some job may have."""
    job_id, suffix = split_row_name(key.name)
    return suffix in ("", CANCEL_SUFFIX, PROGRESS_SUFFIX) and (
        key.part in job_partitions(queue_of(key.part), job_id)
    )


def job_id_of(key: PartitionedKey) -> JobId:
    """Return the id of the job that a row's key belongs to."""
    return split_row_name(key.name)[0]


def pack_job_ids(job_ids: Iterable[JobId]) -> bytes:
    """Encode a set of jobs."""
    return msgpack.packb(sorted(job_ids))


@_decodes("a set of jobs")
def unpack_job_ids(value: bytes) -> set[JobId]:
    """Decode a set of jobs."""
    return {JobId(name) for name in msgpack.unpackb(value)}


def pack_workers(worker_ids: Iterable[WorkerId]) -> bytes:
    """Encode the workers that a term may have sent orders to."""
    return _pack(sorted(worker_ids))


@dataclass(frozen=True, slots=True)
class ShareLimit:
    """A limit of a team's jobs in a partition to ``rate_per_s``.

    ``due_ms`` is the store's time at which the next job is due.
    """

    due_ms: float
    rate_per_s: float


def pack_limit(limit: ShareLimit) -> bytes:
    """Encode the limit of a team's jobs."""
    return msgpack.packb([limit.due_ms, limit.rate_per_s])


@_decodes("a limit")
def unpack_limit(value: bytes) -> ShareLimit:
    """Decode the limit of a team's jobs."""
    due_ms, rate_per_s, *_ = map(float, msgpack.unpackb(value))
    if not math.isfinite(due_ms) or not rate_per_s > 0:
        raise ValueError("not a rate")
    return ShareLimit(due_ms, rate_per_s)


@dataclass(frozen=True, slots=True)
class Cancellation:
    """A cancellation, at a time of the store's clock in milliseconds.

    ``teams`` are those whose callers have cancelled; it is ``None`` if the queue takes
    calls without a key, and the cancellation then binds the job of any team.
    """

    time_ms: float
    teams: frozenset[TeamName] | None = None

    def binds(self, team: TeamName | None) -> bool:
        """Return whether it cancels a job of a team."""
        return self.teams is None or team is None or team in self.teams


def pack_cancellation(cancellation: Cancellation) -> bytes:
    """Encode a cancellation; without teams it is as earlier versions write it."""
    if cancellation.teams is None:
        return msgpack.packb(cancellation.time_ms)
    return msgpack.packb([cancellation.time_ms, sorted(cancellation.teams)])


@_decodes("a cancellation")
def unpack_cancellation(value: bytes) -> Cancellation:
    """Decode a cancellation."""
    match msgpack.unpackb(value):
        case [time_ms, [*teams], *_]:
            return Cancellation(float(time_ms), frozenset(map(TeamName, teams)))
        case time_ms:
            return Cancellation(float(time_ms))


def read_cancellation(value: bytes) -> Cancellation:
    """Decode a cancellation; one that cannot be read was acknowledged and binds all."""
    try:
        return unpack_cancellation(value)
    except MalformedData:
        return Cancellation(0.0)


@_decodes("a list of workers")
def unpack_workers(value: bytes) -> tuple[WorkerId, ...]:
    """Decode the workers that a predecessor may have sent orders to."""
    return tuple(WorkerId(name) for name in _unpack(value))


@dataclass(frozen=True, slots=True)
class VmOrdersRecord:
    """Record of the orders about VMs, for the next holder of the role.

    Attributes
    ----------
    arrives_by_ms : dict of VmId to float
        The store's time, in milliseconds, by which the last order about each VM has
        arrived at the VM service or is lost. Only recent orders are kept.
    begun : dict of int to set of VmId
        The VMs that have had their maintenance, by the number of the wave.
    due_ms : dict of int to float
        The store's time at which each wave is due, by the number of the wave.
    """

    arrives_by_ms: dict[VmId, float] = field(default_factory=dict)
    begun: dict[int, set[VmId]] = field(default_factory=dict)
    due_ms: dict[int, float] = field(default_factory=dict)


def pack_vm_orders(record: VmOrdersRecord) -> bytes:
    """Encode the record of the orders about VMs."""
    begun = {wave: sorted(vms) for wave, vms in record.begun.items()}
    return msgpack.packb([record.arrives_by_ms, begun, record.due_ms])


@_decodes("a record of VM orders")
def unpack_vm_orders(value: bytes) -> VmOrdersRecord:
    """Decode the record of a predecessor's orders about VMs.

    Records of earlier versions have no due times.
    """
    arrives_by_ms, begun, *rest = msgpack.unpackb(value, strict_map_key=False)
    return VmOrdersRecord(
        {VmId(vm): at_ms for vm, at_ms in arrives_by_ms.items()},
        {wave: {VmId(vm) for vm in vms} for wave, vms in begun.items()},
        rest[0] if rest else {},
    )


def pack_workload(workload: Workload, accepted_ms: float) -> bytes:
    """Encode a job and the store's time of its acceptance in milliseconds.

    A job without a team is encoded as earlier versions do.
    """
    schedule = workload.schedule
    return _pack(
        [
            workload.text,
            [_pack_step(step) for step in workload.steps],
            [schedule.repeats, schedule.start_ms, schedule.period_ms],
            accepted_ms,
            _pack_queue(workload.accepted_under),
            *([workload.team] if workload.team is not None else []),
        ]
    )


@_decodes("a job")
def unpack_workload(key: PartitionedKey, value: bytes) -> tuple[Workload, float]:
    """Decode a job and the store's time of its acceptance in milliseconds.

    Rows of earlier versions do not hold the queue. Fields that a later version has
    appended are ignored.
    """
    text, steps, schedule, accepted_ms, *rest = _unpack(value)
    queue, team, *_ = (*rest, None, None)
    workload = Workload(
        JobId(key.name),
        queue_of(key.part),
        text,
        tuple(_unpack_step(step) for step in steps),
        Schedule(*schedule),
        _unpack_queue(queue_of(key.part), queue),
        _unpack_team(team),
    )
    return workload, accepted_ms


def _unpack_team(packed: Any) -> TeamName | None:
    """Decode a team, ``None`` if the row holds something else in its place."""
    return TeamName(packed) if isinstance(packed, str) else None


@_decodes("the team of a job")
def unpack_team(suffix: str, value: bytes) -> TeamName | None:
    """Decode only the team from a job's row or from its progress row."""
    position = _TEAM_POSITIONS[suffix]
    unpacker = msgpack.Unpacker()
    unpacker.feed(_inflate(value))
    if unpacker.read_array_header() <= position:
        return None
    for _ in range(position):
        unpacker.skip()
    return _unpack_team(unpacker.unpack())


def _pack_queue(queue: Queue | None) -> list[Any] | None:
    """Encode a queue, without its name, which the partition tells."""
    if queue is None:
        return None
    advice = queue.advice
    return [
        queue.service,
        queue.priority,
        queue.max_attempts,
        queue.stretch,
        queue.target_ms,
        [advice.decision_ms, advice.per_worker_ms, advice.validity_ms]
        if advice is not None
        else None,
        queue.workers_guard_capacity,
    ]


def _unpack_queue(name: QueueName, packed: Any) -> Queue | None:
    """Decode a queue, ``None`` if the row holds something else in its place."""
    if not isinstance(packed, list):
        return None
    service, priority, attempts, stretch, target_ms, advice, guards, *_ = packed
    return Queue(
        name,
        ServiceName(service),
        priority,
        attempts,
        stretch,
        target_ms,
        AdvicePolicy(*advice) if advice is not None else None,
        guards,
    )


def _pack(value: Any) -> bytes:
    """Encode a value, and compress it if it is long: a row holds little."""
    packed = msgpack.packb(value)
    if len(packed) < COMPRESS_MIN_BYTES:
        return packed
    return _COMPRESSED + zlib.compress(packed)


def _inflate(value: bytes) -> bytes:
    """Return what ``_pack`` has encoded without its compression."""
    if not value.startswith(_COMPRESSED):
        return value
    inflate = zlib.decompressobj()
    value = inflate.decompress(value[len(_COMPRESSED) :], MAX_UNPACKED_BYTES)
    if not inflate.eof:
        raise ValueError("a compressed row is incomplete or too long")
    return value


def _unpack(value: bytes) -> Any:
    """Decode what ``_pack`` has encoded."""
    return msgpack.unpackb(_inflate(value), strict_map_key=False)


def _pack_step(step: Step) -> dict[str, Any]:
    """Encode the shape of a step and the fields that differ from their defaults."""
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
    """Encode a job's progress.

    Crashes are left out where there are none, for entries of earlier versions. Long
    sequences of done tasks are written as spans.
    """
    steps = [
        [*step_key, _pack_indexes(s.done), s.failed, s.checkpoints, s.placed]
        + ([s.crashed] if s.crashed else [])
        + ([s.unconfirmed] if s.unconfirmed else [])
        for step_key, s in record.steps.items()
    ]
    team = [record.team] if record.team is not None else []
    return _pack(
        [record.state.value, record.finished, steps, record.recorded_ms, *team]
    )


def _pack_indexes(indexes: Collection[int]) -> list[Any]:
    """Encode indexes, as ``[start, end]`` for each span of more than two."""
    packed: list[Any] = []
    for start, end in IndexSet(indexes).spans:
        packed += [[start, end]] if end - start > 2 else range(start, end)
    return packed


def _unpack_indexes(packed: Iterable[Any]) -> IndexSet:
    """Decode indexes; earlier versions have written each one by itself."""
    indexes = IndexSet()
    for item in packed:
        start, end = item if isinstance(item, list) else (item, item + 1)
        indexes.add_range(start, end)
    return indexes


@_decodes("the progress of a job")
def unpack_progress(value: bytes) -> ProgressRecord:
    """Decode a job's progress.

    Records of earlier versions have no crashes, and only the workers of placed runs;
    those of open jobs have no time. Crashes that they count are not confirmed, as they
    include runs that nobody saw begin. Fields that a later version has appended are
    ignored.
    """
    state, finished, packed, recorded_ms, *rest = _unpack(value)
    steps = {
        (occurrence, number): _unpack_step_record(*fields)
        for occurrence, number, *fields in packed
    }
    if not recorded_ms:
        steps = {key: replace(s, unconfirmed=s.crashed) for key, s in steps.items()}
    team = _unpack_team(rest[0]) if rest else None
    return ProgressRecord(JobState(state), finished, steps, recorded_ms, team)


@_decodes("the progress of a job")
def unpack_state(value: bytes) -> JobState:
    """Decode only the state from a job's progress."""
    if value.startswith(_COMPRESSED):
        head = zlib.decompressobj().decompress(value[len(_COMPRESSED) :], STATE_BYTES)
    else:
        head = value[:STATE_BYTES]
    unpacker = msgpack.Unpacker()
    unpacker.feed(head)
    unpacker.read_array_header()
    return JobState(unpacker.unpack())


def pack_run_times(by_image: Mapping[str, RunTimeStats]) -> bytes:
    """Encode the learned run times of a queue, by image."""
    return _pack({image: astuple(stats) for image, stats in by_image.items()})


@_decodes("run times")
def unpack_run_times(value: bytes) -> dict[str, RunTimeStats]:
    """Decode the learned run times of a queue.

    Sums that a later version has appended are ignored.
    """
    by_image = {
        str(image): _unpack_run_time_stats(sums)
        for image, sums in _unpack(value).items()
    }
    if WHOLE_QUEUE not in by_image:
        raise ValueError("the sums of the whole queue are missing")
    return by_image


def _unpack_run_time_stats(sums: Sequence[Any]) -> RunTimeStats:
    numbers = [float(number) for number in sums[: len(fields(RunTimeStats))]]
    stats = RunTimeStats(*numbers)
    if not all(map(math.isfinite, numbers)) or not stats.is_possible:
        raise ValueError("no steps have such sums")
    return stats


def _unpack_step_record(
    done: list[Any],
    failed: dict[int, list[int]],
    checkpoints: dict[int, str],
    placed: dict[int, list[Any]],
    crashed: dict[int, list[int]] | None = None,
    unconfirmed: dict[int, list[int]] | None = None,
    *_later_fields: Any,
) -> StepRecord:
    return StepRecord(
        _unpack_indexes(done),
        {index: tuple(numbers) for index, numbers in failed.items()},
        checkpoints,
        {index: tuple(map(_unpack_placement, runs)) for index, runs in placed.items()},
        {index: tuple(numbers) for index, numbers in (crashed or {}).items()},
        {index: tuple(numbers) for index, numbers in (unconfirmed or {}).items()},
    )


def _unpack_placement(packed: str | list[Any]) -> Placement:
    if isinstance(packed, str):
        return Placement(WorkerId(packed))
    return Placement(*packed[: len(Placement._fields)])
