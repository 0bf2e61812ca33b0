"""``corianderpitch``: the operators' command line."""

import getpass
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Annotated, Any

from cyclopts import App, CycloptsError, Parameter
from cyclopts.config import Env

from corianderpitch_client.api import OperatorClient
from corianderpitch_client.errors import ClientError, ExitCode
from corianderpitch_client.files import FleetFiles
from corianderpitch_client.jobs import job_app, worker_app
from corianderpitch_client.options import Common, Waiting, show
from corianderpitch_client.tables import (
    show_json,
    show_progress,
    show_table,
    time_text,
)

ENVIRONMENT_PREFIX = "CORIANDERPITCH_"
DAY_MS = 86_400_000

app = App(
    name="corianderpitch",
    help="Operate a fleet that corianderpitch manages.",
    config=Env(ENVIRONMENT_PREFIX, command=False),
    result_action="return_value",
)
config_app = App(name="config", help="Check, apply and follow the configuration.")
fleet_app = App(name="fleet", help="Look at the VMs.")
vm_app = App(name="vm", help="Plan an operation on one VM.")
wave_app = App(name="wave", help="Plan an operation on many VMs.")
service_app = App(name="service", help="Look at the services.")
PARTS = (config_app, fleet_app, vm_app, wave_app, service_app, job_app, worker_app)
for part in PARTS:
    app.command(part)


@config_app.command
def check(folder: Path, common: Common) -> None:
    """Check fleet.toml and sites/*.toml in a folder without applying them."""
    files = FleetFiles.from_folder(folder)
    common.client().post("/v1/config/check", _texts(files))
    show(common, {"problems": []}, f"{folder} is valid.")


@config_app.command
def apply(
    folder: Path,
    common: Common,
    waiting: Waiting = Waiting(),  # noqa: B008 - frozen
    *,
    based_on: int | None = None,
    author: str = "",
) -> None:
    """Apply the files of a folder as a new revision.

    Parameters
    ----------
    based_on
        Revision that the files were made from; the head if not given.
    author
        Name to record with the change; the login name if not given.
    """
    client = common.client()
    if based_on is None:
        head = client.get("/v1/config")
        based_on = head["revision"] if head else 0
    files = FleetFiles.from_folder(folder)
    change = {
        **_texts(files),
        "based_on": based_on,
        "operation_id": waiting.id(),
        "author": author or getpass.getuser(),
    }
    revision = client.post("/v1/config/apply", change)["revision"]
    if waiting.wait:
        client.wait(
            f"revision {revision} in force everywhere",
            lambda: _behind(client, revision),
            waiting.wait_timeout_ms,
            show_progress,
        )
    show(common, {"revision": revision}, f"Revision {revision} is accepted.")


def _behind(client: OperatorClient, revision: int) -> str | None:
    """Return which entries have not put a revision in force."""
    status = client.get("/v1/status")
    late = [e["entry"] for e in status["entries"] if e["revision"] < revision]
    silent = [info["entry"] for info in status["silent"]]
    if not late and not silent:
        return None
    return f"Behind: {', '.join(late) or 'none'}; silent: {', '.join(silent) or 'none'}"


@config_app.command(name="show")
def show_config(common: Common) -> None:
    """Print the accepted base file and overlays."""
    head = common.client().get("/v1/config")
    if common.output == "json" or head is None:
        show_json(head)
        return
    print(f"# revision {head['revision']}\n{head['base_text']}")
    for site, text in head["overlay_texts"].items():
        print(f"# sites/{site}.toml\n{text}")


@config_app.command(name="status")
def config_status(common: Common) -> None:
    """Show the revision in force at each entry, and who is behind."""
    client = common.client()
    status = client.get("/v1/status")
    if common.output == "json":
        show_json(status)
        return
    newest = max(entry["revision"] for entry in status["entries"])
    rows = [
        (
            entry["data_center"],
            entry["entry"],
            entry["revision"],
            _revision_note(entry, newest),
        )
        for entry in status["entries"]
    ]
    rows += [
        (info["data_center"], info["entry"], "?", "does not answer: cut off or down")
        for info in status["silent"]
    ]
    show_table(("SITE", "ENTRY", "REVISION", "STATE"), sorted(rows, key=str))


def _revision_note(entry: dict[str, Any], newest: int) -> str:
    if entry["revision"] < newest:
        return f"behind by {newest - entry['revision']}"
    return "in force"


@config_app.command
def history(common: Common) -> None:
    """List the latest accepted revisions."""
    records = common.client().get("/v1/config/history")
    if common.output == "json":
        show_json(records)
        return
    rows = [
        (r["revision"], r["based_on"], time_text(r["accepted_ms"]), r["author"])
        for r in records
    ]
    show_table(("REVISION", "BASED ON", "ACCEPTED (UTC)", "AUTHOR"), rows)


@config_app.command
def diff(old: int, new: int, common: Common) -> None:
    """Show what changed between two revisions."""
    found = common.client().get(f"/v1/config/diff/{old}/{new}")
    show(common, found, found["difference"])


@fleet_app.command(name="show")
def show_fleet(common: Common, *, pool: str = "", site: str = "") -> None:
    """List the VMs, their pools and states, and why operations wait."""
    vms = [
        vm
        for vm in common.client().get("/v1/fleet")
        if (not pool or vm["record"]["pool"] == pool)
        and (not site or vm["data_center"] == site)
    ]
    if common.output == "json":
        show_json(vms)
        return
    rows = [
        (
            vm["data_center"],
            vm["vm_id"],
            vm["record"]["rack"],
            vm["record"]["pool"],
            vm["record"]["state"],
            (vm["record"]["operation"] or {}).get("kind"),
            vm["wait"],
        )
        for vm in vms
    ]
    show_table(("SITE", "VM", "RACK", "POOL", "STATE", "OPERATION", "WAITS FOR"), rows)


@vm_app.command
def drain(
    vm: str,
    common: Common,
    waiting: Waiting = Waiting(),  # noqa: B008 - frozen
) -> None:
    """Close a VM to new work and keep it closed until 'vm return'."""
    _request_vm(common, waiting, vm, "drain", None)


@vm_app.command
def reboot(
    vm: str,
    common: Common,
    waiting: Waiting = Waiting(),  # noqa: B008 - frozen
) -> None:
    """Drain a VM, reboot it and open it again."""
    _request_vm(common, waiting, vm, "reboot", None)


@vm_app.command
def move(
    vm: str,
    pool: str,
    common: Common,
    waiting: Waiting = Waiting(),  # noqa: B008 - frozen
) -> None:
    """Drain a VM and move it to another pool."""
    _request_vm(common, waiting, vm, "move", pool)


@vm_app.command
def retire(
    vm: str,
    common: Common,
    waiting: Waiting = Waiting(),  # noqa: B008 - frozen
) -> None:
    """Drain a VM and stop it for good."""
    _request_vm(common, waiting, vm, "retire", None)


@vm_app.command(name="return")
def return_vm(vm: str, common: Common) -> None:
    """Take back an operation that has not reached its stop."""
    found = common.client().post(f"/v1/vms/{vm}/return", {})
    show(common, found, f"{vm} is {found['record']['state']}.")


def _request_vm(
    common: Common, waiting: Waiting, vm: str, verb: str, pool: str | None
) -> None:
    client = common.client()
    body = {"operation_id": waiting.id(), "target_pool": pool}
    found = client.post(f"/v1/vms/{vm}/{verb}", body)
    if waiting.wait:
        client.wait(
            f"the {verb} of {vm}",
            lambda: _vm_progress(client, vm, verb),
            waiting.wait_timeout_ms,
            show_progress,
        )
    show(common, found, f"The {verb} of {vm} is {'done' if waiting.wait else 'asked'}.")


def _vm_progress(client: OperatorClient, vm: str, verb: str) -> str | None:
    """Return how far an operation has come, or ``None`` once it is done."""
    found = next((v for v in client.get("/v1/fleet") if v["vm_id"] == vm), None)
    if found is None or found["record"]["state"] == "retired":
        return None
    state = found["record"]["state"]
    has_ended = found["record"]["operation"] is None
    if has_ended or (verb == "drain" and state == "drained"):
        return None
    return f"{vm} is {state}" + (f", waits: {found['wait']}" if found["wait"] else "")


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


@service_app.command(name="show")
def show_service(common: Common, name: str = "") -> None:
    """Show each service's queue and slots, data centre by data centre."""
    status = common.client().get("/v1/status")
    rows = [
        {"data_center": entry["data_center"], "owner": entry["entry"], **service}
        for entry in status["entries"]
        for service in entry["owned"]
        if not name or service["service"] == name
    ]
    rows.sort(key=lambda row: (row["service"], row["data_center"]))
    if common.output == "json":
        show_json(rows)
        return
    columns = ("service", "data_center", "owner", "waiting", "held_slots", "free_slots")
    headings = tuple(c.replace("_", " ").upper() for c in columns)
    show_table(headings, [[row[c] for c in columns] for row in rows])


@app.command
def status(common: Common) -> None:
    """Show every entry: revision, platform, manager role and services."""
    found = common.client().get("/v1/status")
    if common.output == "json":
        show_json(found)
        return
    rows = [
        (
            entry["data_center"],
            entry["entry"],
            _entry_state(entry),
            entry["revision"],
            _age_text(entry["platform_age_ms"]),
            ", ".join(s["service"] for s in entry["owned"]),
        )
        for entry in found["entries"]
    ]
    rows += [
        (info["data_center"], info["entry"], "silent", "?", "?", "")
        for info in found["silent"]
    ]
    headings = ("SITE", "ENTRY", "STATE", "REVISION", "PLATFORM HEARD", "OWNS")
    show_table(headings, sorted(rows, key=str))


def _entry_state(entry: dict[str, Any]) -> str:
    if entry["is_draining"]:
        return "leaving"
    return "manager" if entry["is_manager"] else "serving"


def _age_text(age_ms: float | None) -> str:
    return "never" if age_ms is None else f"{age_ms / 1000.0:.1f} s ago"


def _texts(files: FleetFiles) -> dict[str, Any]:
    return {"base_text": files.base_text, "overlay_texts": files.overlay_texts}


def main() -> None:
    """Run one command; the exit code tells the kind of failure."""
    try:
        app(sys.argv[1:], exit_on_error=False, print_error=False)
    except ClientError as error:
        print(f"corianderpitch: {error}", file=sys.stderr)
        if error.advice():
            print(error.advice(), file=sys.stderr)
        sys.exit(error.exit_code)
    except CycloptsError as error:
        print(f"corianderpitch: {error}", file=sys.stderr)
        sys.exit(ExitCode.USAGE)


if __name__ == "__main__":
    main()
