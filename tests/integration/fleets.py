"""Fleets of local processes, shared by the integration tests."""

from corianderpitch_standins.load import CallerLoad, check_outcomes
from corianderpitch_standins.localfleet import LocalFleet, wait_until

SERVICES = ("s1", "s2")
LENDING_CONFIG = """
[lending]
is_enabled = true
pressure_hold_ms = 300
slack_hold_ms = 2000
max_moves_per_hour = 3600.0
"""


def base_text(sites, min_available=2, spare="", **changes):
    """Return the text of a base configuration file.

    Parameters
    ----------
    sites
        Names of the data centres.
    min_available
        Smallest number of VMs of each service that a budget keeps available.
    spare
        Pool whose VMs may be lent to the other pool; empty for no lending.
    **changes
        Further keys and values of each service.
    """
    text = 'name = "test"\n' + (LENDING_CONFIG if spare else "")
    for site in sites:
        text += f'[sites.{site}]\nregion = "r"\n'
    for service in SERVICES:
        text += f"[pools.{service}]\nvm_processors = 1\nvm_memory_mb = 1\n"
        text += "is_spare = true\n" if service == spare else ""
        text += (
            f'[services.{service}]\npool = "{service}"\ninstance_slots = 8\n'
            f"instance_connections = 64\nmax_body_bytes = 100000\n"
            f"budget = {{ min_available = {min_available} }}\n"
        )
        for key, value in changes.items():
            text += f"{key} = {value}\n"
    return text


def start_fleet(sites, entries_per_site=2, vms_per_site=2, min_available=2, spare=""):
    """Start a fleet and wait until it serves requests.

    Each data centre has ``vms_per_site`` VMs of each service. The caller closes
    the fleet.
    """
    fleet = LocalFleet(list(sites))
    try:
        fleet.add_vms(
            [
                (f"{service}-{site}-{n}", site, f"{site}-rack{n}", service)
                for site in sites
                for service in SERVICES
                for n in range(vms_per_site)
            ]
        )
        for site in sites:
            for n in range(entries_per_site):
                fleet.start_entry(f"{site}{n}", site, wait=False)
        for entry in fleet.entries.values():
            fleet.finish_start(entry)
        fleet.apply_config(base_text(sites, min_available, spare), 0, "first")
        fleet.wait_ready()
        wait_until(lambda: all_vms_active(fleet), 20.0, "all VMs active")
        wait_until(lambda: all_entries_serve(fleet), 10.0, "all entries serve")
    except BaseException:
        fleet.close()
        raise
    return fleet


def all_vms_active(fleet):
    records = fleet.vm_records()
    return len(records) == len(fleet.vms) and all(
        r["state"] == "active" for r in records.values()
    )


def all_entries_serve(fleet):
    return all(
        post_request(fleet, e, "s1", "{}").status == 200 for e in fleet.entries.values()
    )


def post_request(fleet, entry, service, body, **headers):
    url = f"{entry.url}/v1/services/{service}/requests"
    request_headers = {"X-Idempotent": "true", "X-Timeout-Ms": "2000"} | headers
    return fleet.http.request(
        "POST", url, body=body, headers=request_headers, redirect=False
    )


def start_load(fleet, **settings):
    return CallerLoad(fleet.running_urls, list(SERVICES), **settings).start()


def check_guarantees(fleet, sent):
    verdict = check_outcomes(sent, fleet.run_logs())
    assert verdict.is_clean, verdict
    return verdict


def busy_refusals(fleet):
    return sum(fleet.instance_report(vm_id)["refused_busy"] for vm_id in fleet.vms)


def interrupted_runs(fleet):
    return sum(fleet.instance_report(vm_id)["cut_off"] for vm_id in fleet.vms)
