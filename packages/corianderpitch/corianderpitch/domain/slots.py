"""Ledger of the slots of one service's instances in one data centre.

Every slot is free, held under a permit, or *unknown*. An unknown slot may be in use
by a request that the ledger has no record of, such as one whose permit was granted by
a predecessor that failed. Unknown slots are not granted until the instance itself
reports how many requests it runs.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from corianderpitch.ids import EntryId, PermitId, VmId

EXPIRY_GRACE_MS = 500.0
SUSPECT_RETRY_MS = 200.0
PROBE_MIN_PAUSE_MS = 50.0
PROBE_MAX_PAUSE_MS = 2000.0
PROBE_TIMEOUT_MS = 1000.0  # a probe without a result is repeated after this time
START_MARGIN_MS = 20.0  # a holder starts its request well within this time


class RunResult(enum.Enum):
    """How the use of a permit ended, as its holder reports it."""

    COMPLETED = "completed"
    UNUSED = "unused"
    ABANDONED = "abandoned"
    BUSY = "busy"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class InstanceSpec:
    """An instance as the fleet describes it.

    ``address`` is ``ip:port``. ``is_open`` is false once the VM is leaving service.
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
    unknown_slots: int
    is_leaving: bool = False
    suspect_until_ms: float = 0.0
    probe_due_ms: float = 0.0
    probe_pause_ms: float = PROBE_MIN_PAUSE_MS
    permits: dict[PermitId, Permit] = field(default_factory=dict)
    probed_permits: frozenset[PermitId] = frozenset()

    def available_slots(self, now_ms: float) -> int:
        if not self.accepts_work or now_ms < self.suspect_until_ms:
            return 0
        return max(0, self.spec.slots - len(self.permits) - self.unknown_slots)

    @property
    def accepts_work(self) -> bool:
        return self.spec.is_open and not self.is_leaving

    def reopen(self, slots: int) -> None:
        """Probe the instance at once, as its VM has come back into service."""
        self.unknown_slots = slots
        self.is_leaving = False
        self.probe_due_ms = 0.0
        self.probe_pause_ms = PROBE_MIN_PAUSE_MS

    def schedule_next_probe(self, now_ms: float, expects_change: bool) -> None:
        """Set when to probe next; the interval doubles while no change is expected."""
        if expects_change:
            self.probe_pause_ms = PROBE_MIN_PAUSE_MS
        else:
            self.probe_pause_ms = min(PROBE_MAX_PAUSE_MS, 2 * self.probe_pause_ms)
        self.probe_due_ms = now_ms + self.probe_pause_ms


class SlotLedger:
    """Counts the permits of each instance and never grants more than it has slots."""

    def __init__(self):
        self._instances: dict[VmId, _Instance] = {}
        self._vm_by_permit: dict[PermitId, VmId] = {}

    def update_instances(self, specs: Iterable[InstanceSpec]) -> None:
        """Replace the instances; all slots of a new instance are unknown at first.

        An instance that has left the fleet is removed if it has no permits. Otherwise
        it is closed, and a later update removes it.
        """
        specs_by_id = {spec.vm_id: spec for spec in specs}
        for vm_id, spec in specs_by_id.items():
            known = self._instances.get(vm_id)
            if known is None or known.spec.address != spec.address:
                self._instances[vm_id] = _Instance(spec, unknown_slots=spec.slots)
                continue
            if spec.is_open and not known.spec.is_open:
                known.reopen(spec.slots)
            known.spec = spec
        for vm_id in list(self._instances):
            is_removed = vm_id not in specs_by_id
            if is_removed and not self._instances[vm_id].permits:
                del self._instances[vm_id]
            elif is_removed:
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
        """Grant a slot of the instance with the most free slots.

        VMs in ``excluded`` are used only if no other VM has a free slot. Returns
        ``None`` if no slot is free.
        """
        best = max(
            (i for i in self._instances.values() if i.available_slots(now_ms) > 0),
            key=lambda i: (i.spec.vm_id not in excluded, i.available_slots(now_ms)),
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
        self._add_permit(best, permit)
        return permit

    def restore_permit(self, permit: Permit) -> None:
        """Record a permit that a predecessor granted and its holder reports."""
        instance = self._instances.get(permit.vm_id)
        if instance is not None and permit.permit_id not in instance.permits:
            self._add_permit(instance, permit)
            instance.unknown_slots = max(0, instance.unknown_slots - 1)

    def _add_permit(self, instance: _Instance, permit: Permit) -> None:
        instance.permits[permit.permit_id] = permit
        self._vm_by_permit[permit.permit_id] = permit.vm_id

    def release(
        self, permit_id: PermitId, result: RunResult, now_ms: float
    ) -> VmId | None:
        """Release a permit; return its VM, or ``None`` for an unknown permit.

        If it is not certain that the instance has finished the request, the slot is
        unknown until the next load report of the instance.
        """
        vm_id = self._vm_by_permit.pop(permit_id, None)
        if vm_id is None:
            return None
        instance = self._instances[vm_id]
        del instance.permits[permit_id]
        match result:
            case RunResult.ABANDONED:
                instance.unknown_slots += 1
            case RunResult.BUSY:
                instance.unknown_slots = instance.spec.slots - len(instance.permits)
            case RunResult.LEAVING:
                instance.is_leaving = True
            case RunResult.UNREACHABLE:
                instance.unknown_slots += 1
                instance.suspect_until_ms = now_ms + SUSPECT_RETRY_MS
            case RunResult.COMPLETED | RunResult.UNUSED:
                pass
        return vm_id

    def expire(self, now_ms: float) -> list[PermitId]:
        """Make the slots of expired permits unknown; return the ids of the permits."""
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
        """Return the instances to probe for their load now.

        An instance has at most one probe under way. An instance that does not answer,
        or is leaving and idle, is probed at doubling intervals, so that an outage of
        a whole rack does not keep the entries busy.
        """
        due = []
        for instance in self._instances.values():
            needs_probe = (
                instance.unknown_slots > 0
                or instance.is_leaving
                or instance.suspect_until_ms > now_ms
            )
            if needs_probe and instance.probe_due_ms <= now_ms:
                instance.probe_due_ms = now_ms + PROBE_TIMEOUT_MS
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
        """Record an instance's own report of its load.

        The requests of permits that were granted at least ``START_MARGIN_MS`` before
        the probe and are still held are assumed to be among the ``running`` ones. All
        other running requests occupy unknown slots.
        """
        instance = self._instances.get(vm_id)
        if instance is None:
            return
        held = sum(1 for p in instance.probed_permits if p in instance.permits)
        instance.unknown_slots = min(instance.unknown_slots, max(0, running - held))
        instance.is_leaving = is_leaving
        instance.suspect_until_ms = 0.0
        instance.schedule_next_probe(
            now_ms, not is_leaving or instance.unknown_slots > 0
        )

    def record_unreachable(self, vm_id: VmId, now_ms: float) -> None:
        """Record that a probe got no answer; the instance is unavailable for now."""
        instance = self._instances.get(vm_id)
        if instance is not None:
            instance.schedule_next_probe(now_ms, expects_change=False)
            until_result_ms = instance.probe_pause_ms + PROBE_TIMEOUT_MS
            instance.suspect_until_ms = now_ms + until_result_ms
            instance.unknown_slots = max(instance.unknown_slots, 1)

    def free_slots(self, now_ms: float) -> int:
        """Return how many slots can be granted now."""
        return sum(i.available_slots(now_ms) for i in self._instances.values())

    def usable_slots(self, now_ms: float) -> int:
        """Return how many slots the instances that accept work have, free or not."""
        return sum(
            i.spec.slots
            for i in self._instances.values()
            if i.accepts_work and i.suspect_until_ms <= now_ms
        )

    def held_slots(self) -> int:
        """Return how many permits are held."""
        return len(self._vm_by_permit)

    def in_flight(self, vm_id: VmId) -> int:
        """Return how many permits and unknown slots a VM has."""
        instance = self._instances.get(vm_id)
        if instance is None:
            return 0
        return len(instance.permits) + instance.unknown_slots

    def unavailable_vms(self, now_ms: float) -> list[VmId]:
        """Return the open VMs whose instances did not answer when last contacted."""
        return [
            vm_id
            for vm_id, instance in self._instances.items()
            if instance.spec.is_open and instance.suspect_until_ms > now_ms
        ]
