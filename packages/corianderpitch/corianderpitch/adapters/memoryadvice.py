"""In-memory advice service for tests."""

from collections.abc import Set

from returns.result import Result, Success

from corianderpitch.domain.scheduling.advice import AdviceRequest
from corianderpitch.errors import PlatformError
from corianderpitch.ids import WorkerId
from corianderpitch.ports import Advice, AdviceService

VALIDITY_MS = 3000.0


class MemoryAdvice(AdviceService):
    """Allows a fixed set of workers, and records the questions that it gets."""

    def __init__(self, allowed: Set[WorkerId]):
        self._allowed = allowed
        self.questions: list[AdviceRequest] = []

    def advise(self, question: AdviceRequest) -> Result[Advice, PlatformError]:
        """Return a ticket for each named worker that is allowed."""
        self.questions.append(question)
        tickets = {w: f"ticket-{w}" for w in question.workers if w in self._allowed}
        return Success(Advice(tickets, VALIDITY_MS))
