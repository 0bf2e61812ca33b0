"""Entry point of ``corianderpitch``, the command line for operators."""

import sys
from typing import Any

from cyclopts import App, CycloptsError
from cyclopts.config import Env

from corianderpitch_client.configuration import config_app
from corianderpitch_client.errors import ClientError, ExitCode
from corianderpitch_client.fleet import fleet_app, service_app, vm_app
from corianderpitch_client.jobs import job_app, worker_app
from corianderpitch_client.options import CommonOptions
from corianderpitch_client.tables import show_json, show_table
from corianderpitch_client.waves import wave_app

ENVIRONMENT_PREFIX = "CORIANDERPITCH_"
COMMAND_GROUPS = (
    config_app,
    fleet_app,
    vm_app,
    wave_app,
    service_app,
    job_app,
    worker_app,
)

app = App(
    name="corianderpitch",
    help="Operate a fleet that corianderpitch manages.",
    config=Env(ENVIRONMENT_PREFIX, command=False),
    result_action="return_value",
)
for group in COMMAND_GROUPS:
    app.command(group)


@app.command
def status(common: CommonOptions) -> None:
    """Show each entry's revision, last platform response, role and services."""
    fleet_status = common.client().get("/v1/status")
    if common.output == "json":
        show_json(fleet_status)
        return
    rows = [
        (
            entry["data_center"],
            entry["entry"],
            _entry_state(entry),
            entry["revision"],
            _format_age(entry["platform_age_ms"]),
            ", ".join(s["service"] for s in entry["owned"]),
        )
        for entry in fleet_status["entries"]
    ]
    rows += [
        (info["data_center"], info["entry"], "silent", "?", "?", "")
        for info in fleet_status["silent"]
    ]
    headings = ("SITE", "ENTRY", "STATE", "REVISION", "PLATFORM HEARD", "OWNS")
    show_table(headings, sorted(rows, key=str))


def _entry_state(entry: dict[str, Any]) -> str:
    if entry["is_draining"]:
        return "leaving"
    return "manager" if entry["is_manager"] else "serving"


def _format_age(age_ms: float | None) -> str:
    return "never" if age_ms is None else f"{age_ms / 1000.0:.1f} s ago"


def main() -> None:
    """Run one command and exit with the code of its error, if it fails.

    The codes are those of :class:`ExitCode`.
    """
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
