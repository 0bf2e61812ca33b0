"""Commands that create, show and control maintenance waves."""

import time
from collections import Counter
from typing import Annotated, Any

from cyclopts import App, Parameter

from corianderpitch_client.api import OperatorClient
from corianderpitch_client.options import CommonOptions, WaitOptions, show_result
from corianderpitch_client.tables import (
    format_time,
    show_json,
    show_progress,
    show_table,
)

DAY_MS = 86_400_000

wave_app = App(name="wave", help="Plan an operation on many VMs.")


@wave_app.command
def create(
    name: str,
    kind: str,
    common: CommonOptions,
    waiting: WaitOptions = WaitOptions(),  # noqa: B008 - frozen
    *,
    pool: Annotated[tuple[str, ...], Parameter(consume_multiple=True)] = (),
    rack: Annotated[tuple[str, ...], Parameter(consume_multiple=True)] = (),
    vm: Annotated[tuple[str, ...], Parameter(consume_multiple=True)] = (),
    target_pool: str | None = None,
    max_concurrent: int = 1,
    not_maintained_for_days: float = 0.0,
) -> None:
    """Create a wave that reboots, moves or retires the VMs that match.

    Parameters
    ----------
    max_concurrent
        Maximum number of VMs out of service at the same time; the availability
        budgets may allow fewer.
    not_maintained_for_days
        Select only VMs whose last maintenance is at least this many days ago.
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
    show_result(common, wave, f"Wave {name} covers {len(wave['steps'])} VMs.")


def _wave_progress(client: OperatorClient, name: str) -> str | None:
    wave = client.get(f"/v1/waves/{name}")
    if wave["state"] in ("done", "aborted"):
        return None
    return f"Wave {name} is {wave['state']}: {_format_steps(wave)}"


def _format_steps(wave: dict[str, Any]) -> str:
    counts = Counter(wave["steps"].values())
    return ", ".join(f"{count} {step}" for step, count in sorted(counts.items()))


@wave_app.command(name="show")
def show_wave(common: CommonOptions, name: str = "") -> None:
    """Show one wave, or all waves if no name is given."""
    client = common.client()
    waves = [client.get(f"/v1/waves/{name}")] if name else client.get("/v1/waves")
    if common.output == "json":
        show_json(waves)
        return
    rows = [
        (w["name"], w["kind"], w["state"], _format_steps(w), _expected_end(w))
        for w in waves
    ]
    show_table(("WAVE", "KIND", "STATE", "VMS", "EXPECTED END (UTC)"), rows)


def _expected_end(wave: dict[str, Any]) -> str:
    """Estimate the end of a running wave from its mean time per VM so far.

    The result is empty if the wave is not running or has not finished a VM.
    """
    counts = Counter(wave["steps"].values())
    remaining = counts["pending"] + counts["started"]
    if wave["state"] != "running" or not counts["done"]:
        return ""
    now_ms = int(time.time() * 1000)
    per_vm_ms = (now_ms - wave["created_ms"]) / counts["done"]
    return format_time(int(now_ms + remaining * per_vm_ms))


@wave_app.command
def pause(name: str, common: CommonOptions) -> None:
    """Pause a wave: operations on further VMs are not started."""
    _change_wave(common, name, "pause")


@wave_app.command
def resume(name: str, common: CommonOptions) -> None:
    """Resume a paused wave."""
    _change_wave(common, name, "resume")


@wave_app.command
def abort(name: str, common: CommonOptions) -> None:
    """Abort a wave; operations that have already started are completed."""
    _change_wave(common, name, "abort")


def _change_wave(common: CommonOptions, name: str, action: str) -> None:
    wave = common.client().post(f"/v1/waves/{name}/{action}", {})
    show_result(common, wave, f"Wave {name} is {wave['state']}.")
