"""Waves that the fleet file plans: which one is due.

A plan with a period takes a VM in again that long after its last maintenance,
or after it was first seen. A plan without one leads to a single wave, which
stays in the table so that it is never started twice. A wave that an operator
has aborted ends its plan as well.
"""

from dataclasses import dataclass
from datetime import UTC, datetime

from corianderpitch.domain.fleetsections import WaveSettings
from corianderpitch.domain.manager import Snapshot
from corianderpitch.domain.vms import VmRecord, VmState
from corianderpitch.domain.waves import Wave, WaveState, selects
from corianderpitch.ids import VmId, WaveName

DAY_MS = 86_400_000
BATCH_MS = DAY_MS  # VMs due within this time go into one wave
MAX_WAVE_VMS = 500  # each step of a wave writes its row anew
KEPT_WAVES = 5

# A plan that repeats does not wait for a VM that an operator has drained: it
# takes it in with the next wave.
_TAKEN_AGAIN = frozenset({VmState.ACTIVE})
_TAKEN_ONCE = _TAKEN_AGAIN | {VmState.DRAINING, VmState.DRAINED, VmState.STOPPING}


@dataclass(frozen=True, slots=True)
class WaveStart:
    """Adds a planned wave; ``dropped`` are ended ones that make room for it."""

    wave: Wave
    dropped: tuple[WaveName, ...] = ()


def due_wave(snapshot: Snapshot, wall_ms: int) -> WaveStart | None:
    """Return the next wave that a plan wants now."""
    for plan, settings in sorted(snapshot.config.waves.items()):
        earlier = [w for w in snapshot.waves.values() if w.plan == plan]
        if not _may_start(settings, earlier):
            continue
        chosen = _due_vms(snapshot, settings, wall_ms)
        if chosen:
            wave = _new_wave(plan, settings, chosen, wall_ms)
            return WaveStart(wave, _outdated(earlier))
    return None


def _due_ms(record: VmRecord, period_days: int) -> int:
    """Return the Unix time at which a VM's next maintenance is due."""
    since_ms = max(record.last_maintained_ms, record.first_seen_ms)
    return since_ms + period_days * DAY_MS


def _may_start(settings: WaveSettings, earlier: list[Wave]) -> bool:
    """Tell whether a plan's earlier waves let it start another."""
    if settings.period_days is None:
        return not earlier
    return all(wave.state is WaveState.DONE for wave in earlier)


def _due_vms(snapshot: Snapshot, settings: WaveSettings, wall_ms: int) -> list[VmId]:
    """Return the VMs that a plan wants now, the longest due first."""
    period_days = settings.period_days
    found: list[tuple[int, VmId]] = []
    for _, vm_id, record in snapshot.records():
        if not _is_selected(settings, record):
            continue
        due_ms = _due_ms(record, period_days) if period_days else 0
        if due_ms <= wall_ms + BATCH_MS:
            found.append((due_ms, vm_id))
    limit = MAX_WAVE_VMS if period_days else len(found)
    return [vm_id for _, vm_id in sorted(found)[:limit]]


def _is_selected(settings: WaveSettings, record: VmRecord) -> bool:
    is_repeated = settings.period_days is not None
    return (
        record.state in (_TAKEN_AGAIN if is_repeated else _TAKEN_ONCE)
        and record.pool != settings.target_pool
        and selects(settings.pools, record.pool)
        and selects(settings.racks, record.rack)
    )


def _new_wave(
    plan: WaveName, settings: WaveSettings, chosen: list[VmId], wall_ms: int
) -> Wave:
    name = plan
    if settings.period_days is not None:
        started = datetime.fromtimestamp(wall_ms / 1000.0, UTC)
        name = WaveName(f"{plan}-{started:%Y%m%d-%H%M%S}")
    return Wave.over(
        name,
        settings.kind,
        settings.max_concurrent,
        chosen,
        settings.target_pool,
        wall_ms,
        plan,
    )


def _outdated(earlier: list[Wave]) -> tuple[WaveName, ...]:
    """Return the oldest ended waves beyond those that are kept to be shown."""
    newest_first = sorted(earlier, key=lambda wave: wave.created_ms, reverse=True)
    return tuple(wave.name for wave in newest_first[KEPT_WAVES - 1 :])
