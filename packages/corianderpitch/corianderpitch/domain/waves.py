"""Maintenance waves: which VM of a wave goes next."""

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from corianderpitch.domain.vms import OperationKind, VmOperation
from corianderpitch.ids import OperationId, PoolName, VmId, WaveName


class WaveState(enum.Enum):
    """Where a wave stands."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"
    DONE = "done"


class WaveStep(enum.Enum):
    """Where a VM of a wave stands."""

    PENDING = "pending"
    STARTED = "started"
    DONE = "done"
    SKIPPED = "skipped"


def selects(names: tuple[str, ...], name: str) -> bool:
    """Tell whether a selector names something; an empty one names everything."""
    return not names or name in names


@dataclass(frozen=True, slots=True)
class Wave:
    """A planned operation on many VMs; one row of the table.

    ``max_concurrent`` bounds how many VMs are out at the same time, on top of
    the availability budgets. ``plan`` names the fleet file's plan that the wave
    was started by.
    """

    name: WaveName
    kind: OperationKind
    max_concurrent: int
    steps: Mapping[VmId, WaveStep]
    state: WaveState = WaveState.RUNNING
    target_pool: PoolName | None = None
    created_ms: int = 0
    plan: WaveName | None = None

    @classmethod
    def over(
        cls,
        name: WaveName,
        kind: OperationKind,
        max_concurrent: int,
        vm_ids: Iterable[VmId],
        target_pool: PoolName | None,
        created_ms: int,
        plan: WaveName | None = None,
    ) -> "Wave":
        """Return a wave over VMs of which none has been started."""
        steps = dict.fromkeys(vm_ids, WaveStep.PENDING)
        return cls(
            name,
            kind,
            max_concurrent,
            steps,
            target_pool=target_pool,
            created_ms=created_ms,
            plan=plan,
        )

    def operation(self, vm_id: VmId) -> VmOperation:
        """Return the operation on one VM; its id is the same on every try."""
        operation_id = OperationId(f"{self.name}:{vm_id}")
        return VmOperation(operation_id, self.kind, self.target_pool, self.name)

    def with_step(self, vm_id: VmId, step: WaveStep) -> "Wave":
        """Return the wave after one VM's progress; it ends with its last VM."""
        steps = {**self.steps, vm_id: step}
        is_open = any(s in (WaveStep.PENDING, WaveStep.STARTED) for s in steps.values())
        is_over = not is_open and self.state is WaveState.RUNNING
        state = WaveState.DONE if is_over else self.state
        return replace(self, steps=steps, state=state)

    def count(self, step: WaveStep) -> int:
        """Return how many VMs stand at a step."""
        return sum(1 for s in self.steps.values() if s is step)
