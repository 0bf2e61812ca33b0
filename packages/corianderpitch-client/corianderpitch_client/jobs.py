"""Commands that submit, cancel and show jobs, and drain workers."""

import uuid
from typing import Annotated, Any, Literal

from cyclopts import App, Parameter

from corianderpitch_client.options import CommonOptions, show_result
from corianderpitch_client.tables import show_json, show_table

job_app = App(name="job", help="Submit, cancel and show jobs on workers.")
worker_app = App(name="worker", help="Drain workers and return them to service.")


def _with_site(path: str, site: str) -> str:
    return f"{path}?site={site}" if site else path


@job_app.command
def submit(
    team: str,
    command: str,
    common: CommonOptions,
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
    """Submit jobs; a job that can never run is refused immediately.

    Parameters
    ----------
    command
        Command that the worker runs.
    kind
        Kind of the jobs. Jobs of one kind should be similar in size, because
        their size is estimated from the usage of earlier jobs of that kind.
    count
        Number of identical jobs to submit.
    job_id
        Id of the job, or prefix of the ids of several jobs; pass the same one
        to retry a submission whose response was lost.
    site
        Data centre; by default that of the entry that answers.
    """
    base_id = job_id or f"job-{uuid.uuid4().hex[:12]}"
    requests = [
        {
            "job_id": base_id if count == 1 else f"{base_id}-{number}",
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
    path = _with_site("/v1/jobs", site)
    jobs = common.client().post(path, requests, is_repeatable=True)
    show_result(common, jobs, "\n".join(job["job_id"] for job in jobs))


@job_app.command
def cancel(
    job_id: Annotated[tuple[str, ...], Parameter(consume_multiple=True)],
    common: CommonOptions,
    *,
    site: str = "",
) -> None:
    """Cancel jobs; those that are running are stopped."""
    path = _with_site("/v1/jobs/cancel", site)
    jobs = common.client().post(path, list(job_id), is_repeatable=True)
    show_result(common, jobs, f"{len(jobs)} jobs are cancelled or have ended.")


@job_app.command(name="show")
def show_jobs(common: CommonOptions, *, site: str = "", state: str = "") -> None:
    """List the jobs of a data centre."""
    jobs: list[dict[str, Any]] = [
        job
        for job in common.client().get(_with_site("/v1/jobs", site))
        if not state or job["state"] == state
    ]
    if common.output == "json":
        show_json(jobs)
        return
    columns = ("job_id", "team", "kind", "priority", "state", "worker", "attempts")
    headings = tuple(c.replace("_", " ").upper() for c in columns)
    show_table(headings, [[job[c] for c in columns] for job in jobs])


@worker_app.command
def drain(worker: str, common: CommonOptions, *, site: str = "") -> None:
    """Place no new jobs on a worker, and checkpoint and move its running ones."""
    path = _with_site(f"/v1/workers/{worker}/drain", site)
    show_result(common, common.client().post(path, {}), f"{worker} is drained.")


@worker_app.command(name="return")
def return_worker(worker: str, common: CommonOptions, *, site: str = "") -> None:
    """Return a worker to service, so that it gets new jobs again."""
    path = _with_site(f"/v1/workers/{worker}/return", site)
    show_result(common, common.client().post(path, {}), f"{worker} takes jobs again.")
