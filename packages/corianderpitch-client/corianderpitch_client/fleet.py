"""Commands about VMs and services."""

from cyclopts import App

from corianderpitch_client.api import OperatorClient
from corianderpitch_client.options import Common, Waiting, show
from corianderpitch_client.tables import show_json, show_progress, show_table

fleet_app = App(name="fleet", help="Look at the VMs.")
vm_app = App(name="vm", help="Plan an operation on one VM.")
service_app = App(name="service", help="Look at the services.")


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
