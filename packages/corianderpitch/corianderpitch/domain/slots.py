"""Ledger of the slots of one service's instances in one data centre.

Every slot is free, held under a permit, or *unknown*: possibly taken by work
the ledger has no record of, such as a permit granted by a predecessor that
failed. Unknown slots are not handed out until the instance itself reports how
much it runs.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from corianderpitch.ids import EntryId, PermitId, VmId

EXPIRY_GRACE_MS = 500.0
SUSPECT_RETRY_MS = 200.0
PROBE_MIN_PAUSE_MS = 50.0
PROBE_MAX_PAUSE_MS = 2000.0
PROBE_LOST_MS = 1000.0  # a probe without any result is repeated after this
START_MARGIN_MS = 20.0  # a member starts a granted request well within this time


class RunResult(enum.Enum):
    """How the use of a permit ended, as the holder saw it."""

    COMPLETED = "completed"
    UNUSED = "unused"
    ABANDONED = "abandoned"
    BUSY = "busy"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class InstanceSpec:
    """An instance as the fleet describes it.

    ``address`` is ``ip:port``. ``is_open`` is false once the VM is leaving.
    """

    vm_id: VmId
    address: str
    slots: int
    is_open: bool


@dataclass(slots=True)
class Permit:
    """The right to run one request on one instance until ``expires_ms``."""

    permit_id: PermitId
    vm_id: VmId
    holder: EntryId
    granted_ms: float
    expires_ms: float


@dataclass(slots=True)
class _Instance:
    spec: InstanceSpec
    unknown: int
    is_leaving: bool = False
    suspect_until_ms: float = 0.0
    probe_due_ms: float = 0.0
    probe_pause_ms: float = PROBE_MIN_PAUSE_MS
    permits: dict[PermitId, Permit] = field(default_factory=dict)
    probed_permits: frozenset[PermitId] = frozenset()

    def free(self, now_ms: float) -> int:
        if not self.accepts_work or now_ms < self.suspect_until_ms:
            return 0
        return max(0, self.spec.slots - len(self.permits) - self.unknown)

    @property
    def accepts_work(self) -> bool:
        return self.spec.is_open and not self.is_leaving

    def reopen(self, slots: int) -> None:
        """Ask the instance at once, when its VM has come back."""
        self.unknown = slots
        self.is_leaving = False
        self.probe_due_ms = 0.0
        self.probe_pause_ms = PROBE_MIN_PAUSE_MS

    def record_probe(self, now_ms: float, is_hopeful: bool) -> None:
        """Plan the next probe, later and later while nothing is to be expected."""
        if is_hopeful:
            self.probe_pause_ms = PROBE_MIN_PAUSE_MS
        else:
            self.probe_pause_ms = min(PROBE_MAX_PAUSE_MS, 2 * self.probe_pause_ms)
        self.probe_due_ms = now_ms + self.probe_pause_ms


class SlotLedger:
    """Counts permits per instance and never grants more than its slots."""

    def __init__(self):
        self._instances: dict[VmId, _Instance] = {}
        self._vm_of: dict[PermitId, VmId] = {}

    def update_instances(self, specs: Iterable[InstanceSpec]) -> None:
        """Take over the fleet's view; new instances start fully unknown."""
        specs_by_id = {spec.vm_id: spec for spec in specs}
        for vm_id, spec in specs_by_id.items():
            known = self._instances.get(vm_id)
            if known is None or known.spec.address != spec.address:
                self._instances[vm_id] = _Instance(spec, unknown=spec.slots)
                continue
            if spec.is_open and not known.spec.is_open:
                known.reopen(spec.slots)
            known.spec = spec
        for vm_id in list(self._instances):
            gone = vm_id not in specs_by_id
            if gone and not self._instances[vm_id].permits:
                del self._instances[vm_id]
            elif gone:
                self._close(vm_id)

    def _close(self, vm_id: VmId) -> None:
        instance = self._instances[vm_id]
        old = instance.spec
        instance.spec = InstanceSpec(old.vm_id, old.address, old.slots, False)

    def grant(
        self,
        permit_id: PermitId,
        holder: EntryId,
        now_ms: float,
        deadline_ms: float,
        excluded: frozenset[VmId] = frozenset(),
    ) -> Permit | None:
        """Hand out a slot of the least loaded instance, if any is free.

        Instances in ``excluded`` are used only when no other has a free slot.
        """
        best = max(
            (i for i in self._instances.values() if i.free(now_ms) > 0),
            key=lambda i: (i.spec.vm_id not in excluded, i.free(now_ms)),
            default=None,
        )
        if best is None:
            return None
        permit = Permit(
            permit_id,
            best.spec.vm_id,
            holder,
            now_ms,
            deadline_ms + EXPIRY_GRACE_MS,
        )
        self._hold(best, permit)
        return permit

    def adopt(self, permit: Permit) -> None:
        """Record a permit that a predecessor granted and a member reports."""
        instance = self._instances.get(permit.vm_id)
        if instance is not None and permit.permit_id not in instance.permits:
            self._hold(instance, permit)
            instance.unknown = max(0, instance.unknown - 1)

    def _hold(self, instance: _Instance, permit: Permit) -> None:
        instance.permits[permit.permit_id] = permit
        self._vm_of[permit.permit_id] = permit.vm_id

    def release(
        self, permit_id: PermitId, result: RunResult, now_ms: float
    ) -> VmId | None:
        """Give a slot back; returns its VM, or ``None`` for unknown permits.

        A slot given back without certainty that the instance is done with it
        stays unknown until the instance's next load report.
        """
        vm_id = self._vm_of.pop(permit_id, None)
        if vm_id is None:
            return None
        instance = self._instances[vm_id]
        del instance.permits[permit_id]
        match result:
            case RunResult.ABANDONED:
                instance.unknown += 1
            case RunResult.BUSY:
                instance.unknown = instance.spec.slots - len(instance.permits)
            case RunResult.LEAVING:
                instance.is_leaving = True
            case RunResult.UNREACHABLE:
                instance.unknown += 1
                instance.suspect_until_ms = now_ms + SUSPECT_RETRY_MS
            case RunResult.COMPLETED | RunResult.UNUSED:
                pass
        return vm_id

    def expire(self, now_ms: float) -> list[PermitId]:
        """Turn overdue permits into unknown slots and return their ids."""
        overdue = [
            permit.permit_id
            for instance in self._instances.values()
            for permit in instance.permits.values()
            if permit.expires_ms <= now_ms
        ]
        for permit_id in overdue:
            self.release(permit_id, RunResult.ABANDONED, now_ms)
        return overdue

    def start_probes(self, now_ms: float) -> list[InstanceSpec]:
        """Return the instances whose load should be asked for now.

        An instance has one probe under way at a time. One that does not answer,
        or is leaving and idle, is asked at doubling intervals: a rack that is
        out must not keep the entries busy.
        """
        due = []
        for instance in self._instances.values():
            is_uncertain = (
                instance.unknown > 0
                or instance.is_leaving
                or instance.suspect_until_ms > now_ms
            )
            if is_uncertain and instance.probe_due_ms <= now_ms:
                instance.probe_due_ms = now_ms + PROBE_LOST_MS
                instance.probed_permits = frozenset(
                    permit.permit_id
                    for permit in instance.permits.values()
                    if now_ms - permit.granted_ms >= START_MARGIN_MS
                )
                due.append(instance.spec)
        return due

    def record_load(
        self, vm_id: VmId, running: int, is_leaving: bool, now_ms: float
    ) -> None:
        """Take over an instance's own report of its load.

        Permits granted ``START_MARGIN_MS`` before the probe and held all through
        it are assumed to be among the running requests; the rest is unknown.
        """
        instance = self._instances.get(vm_id)
        if instance is None:
            return
        held = sum(1 for p in instance.probed_permits if p in instance.permits)
        instance.unknown = min(instance.unknown, max(0, running - held))
        instance.is_leaving = is_leaving
        instance.suspect_until_ms = 0.0
        instance.record_probe(now_ms, not is_leaving or instance.unknown > 0)

    def record_unreachable(self, vm_id: VmId, now_ms: float) -> None:
        """Note that a probe got no answer."""
        instance = self._instances.get(vm_id)
        if instance is not None:
            instance.record_probe(now_ms, is_hopeful=False)
            until_result_ms = instance.probe_pause_ms + PROBE_LOST_MS
            instance.suspect_until_ms = now_ms + until_result_ms
            instance.unknown = max(instance.unknown, 1)

    def free_slots(self, now_ms: float) -> int:
        """Return how many slots can be granted now."""
        return sum(i.free(now_ms) for i in self._instances.values())

    def usable_slots(self, now_ms: float) -> int:
        """Return the slots of the instances that take work now."""
        return sum(
            i.spec.slots
            for i in self._instances.values()
            if i.accepts_work and i.suspect_until_ms <= now_ms
        )

    def held_slots(self) -> int:
        """Return how many permits are out."""
        return len(self._vm_of)

    def in_flight(self, vm_id: VmId) -> int:
        """Return the permits and unknown slots of one VM."""
        instance = self._instances.get(vm_id)
        if instance is None:
            return 0
        return len(instance.permits) + instance.unknown

    def unavailable_vms(self, now_ms: float) -> list[VmId]:
        """Return open VMs that did not answer when last asked."""
        return [
            vm_id
            for vm_id, instance in self._instances.items()
            if instance.spec.is_open and instance.suspect_until_ms > now_ms
        ]
