"""``corianderpitch``: the operators' command line."""

import sys
from typing import Any

from cyclopts import App, CycloptsError
from cyclopts.config import Env

from corianderpitch_client.configuration import config_app
from corianderpitch_client.errors import ClientError, ExitCode
from corianderpitch_client.fleet import fleet_app, service_app, vm_app
from corianderpitch_client.jobs import job_app, worker_app
from corianderpitch_client.options import Common
from corianderpitch_client.tables import show_json, show_table
from corianderpitch_client.waves import wave_app

ENVIRONMENT_PREFIX = "CORIANDERPITCH_"
PARTS = (config_app, fleet_app, vm_app, wave_app, service_app, job_app, worker_app)

app = App(
    name="corianderpitch",
    help="Operate a fleet that corianderpitch manages.",
    config=Env(ENVIRONMENT_PREFIX, command=False),
    result_action="return_value",
)
for part in PARTS:
    app.command(part)


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
