"""Commands about jobs and workers."""

import uuid
from typing import Annotated, Any, Literal

from cyclopts import App, Parameter

from corianderpitch_client.options import Common, show
from corianderpitch_client.tables import show_json, show_table

job_app = App(name="job", help="Submit, cancel and list jobs on workers.")
worker_app = App(name="worker", help="Take workers out of service.")


def _path(path: str, site: str) -> str:
    return f"{path}?site={site}" if site else path


@job_app.command
def submit(
    team: str,
    command: str,
    common: Common,
    *,
    processors: float = 1.0,
    memory_mb: int = 1024,
    accelerators: int = 0,
    kind: str = "default",
    priority: Literal["urgent", "ordinary"] = "ordinary",
    count: int = 1,
    job_id: str = "",
    site: str = "",
) -> None:
    """Submit jobs; one that can never run is refused at once.

    Parameters
    ----------
    command
        What the worker gets to run.
    kind
        Jobs of one kind are alike in size; their real usage is learnt.
    count
        How many jobs of this form to submit.
    job_id
        Id of the job, or the start of the ids; give the same one to repeat a
        submission whose answer was lost.
    site
        Data centre; that of the asked entry if not given.
    """
    first_id = job_id or f"job-{uuid.uuid4().hex[:12]}"
    requests = [
        {
            "job_id": first_id if count == 1 else f"{first_id}-{number}",
            "team": team,
            "kind": kind,
            "priority": priority,
            "command": command,
            "shape": {
                "processors": processors,
                "memory_mb": memory_mb,
                "accelerators": accelerators,
            },
        }
        for number in range(count)
    ]
    path = _path("/v1/jobs", site)
    jobs = common.client().post(path, requests, is_repeatable=True)
    show(common, jobs, "\n".join(job["job_id"] for job in jobs))


@job_app.command
def cancel(
    job_id: Annotated[tuple[str, ...], Parameter(consume_multiple=True)],
    common: Common,
    *,
    site: str = "",
) -> None:
    """Cancel jobs; running ones are stopped."""
    path = _path("/v1/jobs/cancel", site)
    jobs = common.client().post(path, list(job_id), is_repeatable=True)
    show(common, jobs, f"{len(jobs)} jobs are cancelled or have ended.")


@job_app.command(name="show")
def show_jobs(common: Common, *, site: str = "", state: str = "") -> None:
    """List the jobs of a data centre."""
    jobs: list[dict[str, Any]] = [
        job
        for job in common.client().get(_path("/v1/jobs", site))
        if not state or job["state"] == state
    ]
    if common.output == "json":
        show_json(jobs)
        return
    columns = ("job_id", "team", "kind", "priority", "state", "worker", "attempts")
    headings = tuple(c.replace("_", " ").upper() for c in columns)
    show_table(headings, [[job[c] for c in columns] for job in jobs])


@worker_app.command
def drain(worker: str, common: Common, *, site: str = "") -> None:
    """Give a worker no more jobs; running ones are checkpointed and go on elsewhere."""
    path = _path(f"/v1/workers/{worker}/drain", site)
    show(common, common.client().post(path, {}), f"{worker} is drained.")


@worker_app.command(name="return")
def return_worker(worker: str, common: Common, *, site: str = "") -> None:
    """Give a worker jobs again."""
    path = _path(f"/v1/workers/{worker}/return", site)
    show(common, common.client().post(path, {}), f"{worker} takes jobs again.")
