"""Schedules of maintenance waves: which of the fleet file's plans is due.

Under a plan with a period, a VM is due again one period after its last
maintenance, or after it was first seen. A plan without a period creates a
single wave, which stays in the table so that it is never started twice. A wave
that an operator has aborted ends its plan as well.
"""

from dataclasses import dataclass
from datetime import UTC, datetime

from corianderpitch.domain.fleetsections import WaveSettings
from corianderpitch.domain.manager import Snapshot
from corianderpitch.domain.vms import VmRecord, VmState
from corianderpitch.domain.waves import Wave, WaveState, selects
from corianderpitch.ids import VmId, WaveName

DAY_MS = 86_400_000
BATCH_WINDOW_MS = DAY_MS  # a wave includes the VMs that are due within this time
MAX_WAVE_VMS = 500  # each step of a wave rewrites its whole row
MAX_WAVES_PER_PLAN = 5

# VM states that a wave may include. A plan with a period does not wait for a VM
# that an operator has drained; one of its later waves includes the VM.
_PERIODIC_WAVE_STATES = frozenset({VmState.ACTIVE})
_SINGLE_WAVE_STATES = _PERIODIC_WAVE_STATES | {
    VmState.DRAINING,
    VmState.DRAINED,
    VmState.STOPPING,
}


@dataclass(frozen=True, slots=True)
class WaveStart:
    """Start of a planned wave.

    ``dropped`` names the plan's ended waves to delete, so that the table keeps
    at most ``MAX_WAVES_PER_PLAN`` waves of each plan.
    """

    wave: Wave
    dropped: tuple[WaveName, ...] = ()


def due_wave(snapshot: Snapshot, wall_ms: int) -> WaveStart | None:
    """Return the start of the next wave that is due, if there is one."""
    for plan, settings in sorted(snapshot.config.waves.items()):
        earlier = [w for w in snapshot.waves.values() if w.plan == plan]
        if not _may_start(settings, earlier):
            continue
        vm_ids = _due_vms(snapshot, settings, wall_ms)
        if vm_ids:
            wave = _new_wave(plan, settings, vm_ids, wall_ms)
            return WaveStart(wave, _waves_to_prune(earlier))
    return None


def _due_ms(record: VmRecord, period_days: int) -> int:
    """Return the Unix time at which a VM's next maintenance is due."""
    since_ms = max(record.last_maintained_ms, record.first_seen_ms)
    return since_ms + period_days * DAY_MS


def _may_start(settings: WaveSettings, earlier: list[Wave]) -> bool:
    """Return whether a plan's earlier waves allow it to start another one."""
    if settings.period_days is None:
        return not earlier
    return all(wave.state is WaveState.DONE for wave in earlier)


def _due_vms(snapshot: Snapshot, settings: WaveSettings, wall_ms: int) -> list[VmId]:
    """Return the VMs that are due under a plan, the earliest due first."""
    period_days = settings.period_days
    due_vms: list[tuple[int, VmId]] = []
    for _, vm_id, record in snapshot.records():
        if not _is_eligible(settings, record):
            continue
        due_ms = _due_ms(record, period_days) if period_days else 0
        if due_ms <= wall_ms + BATCH_WINDOW_MS:
            due_vms.append((due_ms, vm_id))
    limit = MAX_WAVE_VMS if period_days else len(due_vms)
    return [vm_id for _, vm_id in sorted(due_vms)[:limit]]


def _is_eligible(settings: WaveSettings, record: VmRecord) -> bool:
    is_periodic = settings.period_days is not None
    return (
        record.state in (_PERIODIC_WAVE_STATES if is_periodic else _SINGLE_WAVE_STATES)
        and record.pool != settings.target_pool
        and selects(settings.pools, record.pool)
        and selects(settings.racks, record.rack)
    )


def _new_wave(
    plan: WaveName, settings: WaveSettings, vm_ids: list[VmId], wall_ms: int
) -> Wave:
    name = plan
    if settings.period_days is not None:
        started = datetime.fromtimestamp(wall_ms / 1000.0, UTC)
        name = WaveName(f"{plan}-{started:%Y%m%d-%H%M%S}")
    return Wave.for_vms(
        name,
        settings.kind,
        settings.max_concurrent,
        vm_ids,
        settings.target_pool,
        wall_ms,
        plan,
    )


def _waves_to_prune(earlier: list[Wave]) -> tuple[WaveName, ...]:
    """Return the oldest ended waves, beyond those kept for operators to see."""
    newest_first = sorted(earlier, key=lambda wave: wave.created_ms, reverse=True)
    return tuple(wave.name for wave in newest_first[MAX_WAVES_PER_PLAN - 1 :])
