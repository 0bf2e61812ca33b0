"""Commands about the configuration."""

import getpass
from pathlib import Path
from typing import Any

from cyclopts import App

from corianderpitch_client.api import OperatorClient
from corianderpitch_client.files import FleetFiles
from corianderpitch_client.options import Common, Waiting, show
from corianderpitch_client.tables import (
    show_json,
    show_progress,
    show_table,
    time_text,
)

config_app = App(name="config", help="Check, apply and follow the configuration.")


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


def _texts(files: FleetFiles) -> dict[str, Any]:
    return {"base_text": files.base_text, "overlay_texts": files.overlay_texts}
