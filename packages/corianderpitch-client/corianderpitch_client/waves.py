"""Commands about waves."""

import time
from collections import Counter
from typing import Annotated, Any

from cyclopts import App, Parameter

from corianderpitch_client.api import OperatorClient
from corianderpitch_client.options import Common, Waiting, show
from corianderpitch_client.tables import (
    show_json,
    show_progress,
    show_table,
    time_text,
)

DAY_MS = 86_400_000

wave_app = App(name="wave", help="Plan an operation on many VMs.")


@wave_app.command
def create(
    name: str,
    kind: str,
    common: Common,
    waiting: Waiting = Waiting(),  # noqa: B008 - frozen
    *,
    pool: Annotated[tuple[str, ...], Parameter(consume_multiple=True)] = (),
    rack: Annotated[tuple[str, ...], Parameter(consume_multiple=True)] = (),
    vm: Annotated[tuple[str, ...], Parameter(consume_multiple=True)] = (),
    target_pool: str | None = None,
    max_concurrent: int = 1,
    not_maintained_for_days: float = 0.0,
) -> None:
    """Plan a wave of reboot, move or retire over the VMs that match.

    Parameters
    ----------
    max_concurrent
        How many VMs may be out at the same time, within the budgets.
    not_maintained_for_days
        Only VMs whose last maintenance is at least so many days ago.
    """
    client = common.client()
    body = {
        "name": name,
        "kind": kind,
        "max_concurrent": max_concurrent,
        "pools": pool,
        "racks": rack,
        "vm_ids": vm,
        "target_pool": target_pool,
        "not_maintained_for_ms": int(not_maintained_for_days * DAY_MS),
    }
    wave = client.post("/v1/waves", body)
    if waiting.wait:
        client.wait(
            f"the end of wave {name}",
            lambda: _wave_progress(client, name),
            waiting.wait_timeout_ms,
            show_progress,
        )
    show(common, wave, f"Wave {name} covers {len(wave['steps'])} VMs.")


def _wave_progress(client: OperatorClient, name: str) -> str | None:
    wave = client.get(f"/v1/waves/{name}")
    if wave["state"] in ("done", "aborted"):
        return None
    return f"Wave {name} is {wave['state']}: {_steps_text(wave)}"


def _steps_text(wave: dict[str, Any]) -> str:
    counts = Counter(wave["steps"].values())
    return ", ".join(f"{count} {step}" for step, count in sorted(counts.items()))


@wave_app.command(name="show")
def show_wave(common: Common, name: str = "") -> None:
    """Show one wave, or all."""
    client = common.client()
    waves = [client.get(f"/v1/waves/{name}")] if name else client.get("/v1/waves")
    if common.output == "json":
        show_json(waves)
        return
    rows = [
        (w["name"], w["kind"], w["state"], _steps_text(w), _expected_end(w))
        for w in waves
    ]
    show_table(("WAVE", "KIND", "STATE", "VMS", "EXPECTED END (UTC)"), rows)


def _expected_end(wave: dict[str, Any]) -> str:
    """Work out a running wave's end from its pace so far."""
    counts = Counter(wave["steps"].values())
    left = counts["pending"] + counts["started"]
    if wave["state"] != "running" or not counts["done"]:
        return ""
    now_ms = int(time.time() * 1000)
    pace_ms = (now_ms - wave["created_ms"]) / counts["done"]
    return time_text(int(now_ms + left * pace_ms))


@wave_app.command
def pause(name: str, common: Common) -> None:
    """Start no further VM of a wave."""
    _change_wave(common, name, "pause")


@wave_app.command
def resume(name: str, common: Common) -> None:
    """Let a paused wave go on."""
    _change_wave(common, name, "resume")


@wave_app.command
def abort(name: str, common: Common) -> None:
    """End a wave; VMs already started are finished."""
    _change_wave(common, name, "abort")


def _change_wave(common: Common, name: str, verb: str) -> None:
    wave = common.client().post(f"/v1/waves/{name}/{verb}", {})
    show(common, wave, f"Wave {name} is {wave['state']}.")
