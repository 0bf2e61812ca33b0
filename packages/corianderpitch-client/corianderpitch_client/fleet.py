"""Commands that show VMs and services, and plan operations on VMs."""

from cyclopts import App

from corianderpitch_client.api import OperatorClient
from corianderpitch_client.options import CommonOptions, WaitOptions, show_result
from corianderpitch_client.tables import show_json, show_progress, show_table

fleet_app = App(name="fleet", help="Show the VMs.")
vm_app = App(name="vm", help="Plan an operation on one VM.")
service_app = App(name="service", help="Show the services.")


@fleet_app.command(name="show")
def show_fleet(common: CommonOptions, *, pool: str = "", site: str = "") -> None:
    """List the VMs with their pools, states, operations and why these wait."""
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
    common: CommonOptions,
    waiting: WaitOptions = WaitOptions(),  # noqa: B008 - frozen
) -> None:
    """Drain a VM and keep it out of service until 'vm return'."""
    _request_operation(common, waiting, vm, "drain", None)


@vm_app.command
def reboot(
    vm: str,
    common: CommonOptions,
    waiting: WaitOptions = WaitOptions(),  # noqa: B008 - frozen
) -> None:
    """Drain a VM, reboot it and return it to service."""
    _request_operation(common, waiting, vm, "reboot", None)


@vm_app.command
def move(
    vm: str,
    pool: str,
    common: CommonOptions,
    waiting: WaitOptions = WaitOptions(),  # noqa: B008 - frozen
) -> None:
    """Drain a VM and move it to another pool."""
    _request_operation(common, waiting, vm, "move", pool)


@vm_app.command
def retire(
    vm: str,
    common: CommonOptions,
    waiting: WaitOptions = WaitOptions(),  # noqa: B008 - frozen
) -> None:
    """Drain a VM and stop it permanently."""
    _request_operation(common, waiting, vm, "retire", None)


@vm_app.command(name="return")
def return_vm(vm: str, common: CommonOptions) -> None:
    """Cancel a VM's operation and return it to service, unless its stop has begun."""
    vm_info = common.client().post(f"/v1/vms/{vm}/return", {})
    show_result(common, vm_info, f"{vm} is {vm_info['record']['state']}.")


def _request_operation(
    common: CommonOptions, waiting: WaitOptions, vm: str, kind: str, pool: str | None
) -> None:
    client = common.client()
    body = {"operation_id": waiting.resolve_operation_id(), "target_pool": pool}
    vm_info = client.post(f"/v1/vms/{vm}/{kind}", body)
    if waiting.wait:
        client.wait(
            f"the {kind} of {vm}",
            lambda: _operation_progress(client, vm, kind),
            waiting.wait_timeout_ms,
            show_progress,
        )
    show_result(
        common, vm_info, f"The {kind} of {vm} is {'done' if waiting.wait else 'asked'}."
    )


def _operation_progress(client: OperatorClient, vm: str, kind: str) -> str | None:
    """Return a description of an operation's progress, ``None`` once it is done."""
    vm_info = next((v for v in client.get("/v1/fleet") if v["vm_id"] == vm), None)
    if vm_info is None or vm_info["record"]["state"] == "retired":
        return None
    state = vm_info["record"]["state"]
    has_ended = vm_info["record"]["operation"] is None
    if has_ended or (kind == "drain" and state == "drained"):
        return None
    return f"{vm} is {state}" + (
        f", waits: {vm_info['wait']}" if vm_info["wait"] else ""
    )


@service_app.command(name="show")
def show_service(common: CommonOptions, name: str = "") -> None:
    """Show the queue length and slots of each service, by data centre."""
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
