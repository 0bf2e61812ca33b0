"""Jobs as consumers submit them, with what the minions need to know of them."""

from dataclasses import dataclass, field
from typing import Any

LASTING_STARTUP_S = 0.5


@dataclass
class Step:
    """A step: its fields on the wire, and how long a subtask works on a sound minion.

    ``failures`` tells how often each subtask fails by its own fault before it succeeds.
    """

    fields: dict[str, Any]
    work_s: float = 1.0
    failures: dict[int, int] = field(default_factory=dict)

    def flag(self, name: str) -> bool:
        """Return whether the step has a property."""
        return bool(self.fields.get(name))

    @property
    def count(self) -> int:
        """Return the number of its subtasks."""
        return self.fields["count"]

    @property
    def need(self) -> tuple[int, int, int]:
        """Return what a subtask takes of a minion's capacity."""
        cpu = 0 if self.flag("fill") else self.fields.get("cpu", 0)
        return cpu, self.fields.get("mem_mb", 0), self.fields.get("gpus", 0)


@dataclass
class Job:
    """A job, and what its consumer was told of it."""

    job_id: str
    queue: str
    steps: list[Step]
    spec: str = ""
    repeats: int = 0
    start_ms: float = 0.0
    period_ms: float = 0.0
    sent_s: float | None = None
    accepted_s: float | None = None
    cancel_sent_s: float | None = None
    cancel_acked_s: float | None = None
    answers: list[int | None] = field(default_factory=list)
    states: list[tuple[float, str]] = field(default_factory=list)

    @property
    def body(self) -> dict[str, Any]:
        """Return the body of its submission."""
        body: dict[str, Any] = {
            "spec": self.spec,
            "steps": [step.fields for step in self.steps],
        }
        if self.repeats:
            body |= {
                "repeats": self.repeats,
                "start_ms": int(self.start_ms),
                "period_ms": int(self.period_ms),
            }
        return body

    @property
    def last_state(self) -> str:
        """Return the state that was shown last."""
        return self.states[-1][1] if self.states else ""

    def task_names(self, step: int | None = None, occurrence: int = 0) -> list[str]:
        """Return the names of all subtasks of a step, or of all steps."""
        return [
            f"{self.job_id}.{occurrence}.{number}.{index}"
            for number, one in enumerate(self.steps)
            if step is None or number == step
            for index in range(one.count)
        ]
