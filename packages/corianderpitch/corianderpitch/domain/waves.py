"""Maintenance waves and the states of their VMs."""

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from corianderpitch.domain.vms import OperationKind, VmOperation
from corianderpitch.ids import OperationId, PoolName, VmId, WaveName


class WaveState(enum.Enum):
    """State of a wave."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"
    DONE = "done"


class WaveVmState(enum.Enum):
    """State of one VM within a wave."""

    PENDING = "pending"
    STARTED = "started"
    DONE = "done"
    SKIPPED = "skipped"


def selects(names: tuple[str, ...], name: str) -> bool:
    """Return whether a selector matches a name; an empty one matches every name."""
    return not names or name in names


@dataclass(frozen=True, slots=True)
class Wave:
    """A planned operation on many VMs; one row of the table.

    ``max_concurrent`` limits how many VMs are out of service at the same time,
    in addition to the availability budgets. ``plan`` names the plan of the fleet
    file that started the wave; it is ``None`` for a wave of an operator.
    ``created_ms`` is a Unix time.
    """

    name: WaveName
    kind: OperationKind
    max_concurrent: int
    steps: Mapping[VmId, WaveVmState]
    state: WaveState = WaveState.RUNNING
    target_pool: PoolName | None = None
    created_ms: int = 0
    plan: WaveName | None = None

    @classmethod
    def for_vms(
        cls,
        name: WaveName,
        kind: OperationKind,
        max_concurrent: int,
        vm_ids: Iterable[VmId],
        target_pool: PoolName | None,
        created_ms: int,
        plan: WaveName | None = None,
    ) -> "Wave":
        """Return a wave for the given VMs, all of them pending."""
        steps = dict.fromkeys(vm_ids, WaveVmState.PENDING)
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
        """Return the operation for one VM; its id is the same on every call."""
        operation_id = OperationId(f"{self.name}:{vm_id}")
        return VmOperation(operation_id, self.kind, self.target_pool, self.name)

    def with_vm_state(self, vm_id: VmId, vm_state: WaveVmState) -> "Wave":
        """Return the wave with one VM's state updated.

        A running wave becomes done when no VM is pending or started any more.
        """
        steps = {**self.steps, vm_id: vm_state}
        is_unfinished = any(
            s in (WaveVmState.PENDING, WaveVmState.STARTED) for s in steps.values()
        )
        is_complete = not is_unfinished and self.state is WaveState.RUNNING
        state = WaveState.DONE if is_complete else self.state
        return replace(self, steps=steps, state=state)

    def count(self, vm_state: WaveVmState) -> int:
        """Return how many VMs of the wave are in a state."""
        return sum(1 for s in self.steps.values() if s is vm_state)
