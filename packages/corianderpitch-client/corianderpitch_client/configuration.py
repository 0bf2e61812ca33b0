"""Commands that check, apply and show the configuration."""

import getpass
from pathlib import Path
from typing import Any

from cyclopts import App

from corianderpitch_client.api import OperatorClient
from corianderpitch_client.files import FleetFiles
from corianderpitch_client.options import CommonOptions, WaitOptions, show_result
from corianderpitch_client.tables import (
    format_time,
    show_json,
    show_progress,
    show_table,
)

config_app = App(name="config", help="Check, apply and show the configuration.")


@config_app.command
def check(folder: Path, common: CommonOptions) -> None:
    """Check fleet.toml and sites/*.toml in a folder without applying them."""
    files = FleetFiles.from_folder(folder)
    common.client().post("/v1/config/check", _file_texts(files))
    show_result(common, {"problems": []}, f"{folder} is valid.")


@config_app.command
def apply(
    folder: Path,
    common: CommonOptions,
    waiting: WaitOptions = WaitOptions(),  # noqa: B008 - frozen
    *,
    based_on: int | None = None,
    author: str = "",
) -> None:
    """Apply fleet.toml and sites/*.toml of a folder as a new revision.

    Parameters
    ----------
    based_on
        Revision that the files are based on; by default the latest one.
    author
        Name that is recorded with the change; by default the login name.
    """
    client = common.client()
    if based_on is None:
        head = client.get("/v1/config")
        based_on = head["revision"] if head else 0
    files = FleetFiles.from_folder(folder)
    change = {
        **_file_texts(files),
        "based_on": based_on,
        "operation_id": waiting.resolve_operation_id(),
        "author": author or getpass.getuser(),
    }
    revision = client.post("/v1/config/apply", change)["revision"]
    if waiting.wait:
        client.wait(
            f"revision {revision} in force everywhere",
            lambda: _rollout_progress(client, revision),
            waiting.wait_timeout_ms,
            show_progress,
        )
    show_result(common, {"revision": revision}, f"Revision {revision} is accepted.")


def _rollout_progress(client: OperatorClient, revision: int) -> str | None:
    """Return which entries are behind a revision or silent, ``None`` if none are."""
    status = client.get("/v1/status")
    behind = [e["entry"] for e in status["entries"] if e["revision"] < revision]
    silent = [info["entry"] for info in status["silent"]]
    if not behind and not silent:
        return None
    return (
        f"Behind: {', '.join(behind) or 'none'}; silent: {', '.join(silent) or 'none'}"
    )


@config_app.command(name="show")
def show_config(common: CommonOptions) -> None:
    """Print the latest accepted base file and overlays."""
    head = common.client().get("/v1/config")
    if common.output == "json" or head is None:
        show_json(head)
        return
    print(f"# revision {head['revision']}\n{head['base_text']}")
    for site, text in head["overlay_texts"].items():
        print(f"# sites/{site}.toml\n{text}")


@config_app.command(name="status")
def config_status(common: CommonOptions) -> None:
    """Show the revision in force at each entry, and which entries are behind."""
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
            _revision_state(entry, newest),
        )
        for entry in status["entries"]
    ]
    rows += [
        (info["data_center"], info["entry"], "?", "does not answer: cut off or down")
        for info in status["silent"]
    ]
    show_table(("SITE", "ENTRY", "REVISION", "STATE"), sorted(rows, key=str))


def _revision_state(entry: dict[str, Any], newest: int) -> str:
    if entry["revision"] < newest:
        return f"behind by {newest - entry['revision']}"
    return "in force"


@config_app.command
def history(common: CommonOptions) -> None:
    """List the latest accepted revisions."""
    records = common.client().get("/v1/config/history")
    if common.output == "json":
        show_json(records)
        return
    rows = [
        (r["revision"], r["based_on"], format_time(r["accepted_ms"]), r["author"])
        for r in records
    ]
    show_table(("REVISION", "BASED ON", "ACCEPTED (UTC)", "AUTHOR"), rows)


@config_app.command
def diff(old: int, new: int, common: CommonOptions) -> None:
    """Show what changed between two revisions."""
    comparison = common.client().get(f"/v1/config/diff/{old}/{new}")
    show_result(common, comparison, comparison["difference"])


def _file_texts(files: FleetFiles) -> dict[str, Any]:
    return {"base_text": files.base_text, "overlay_texts": files.overlay_texts}
