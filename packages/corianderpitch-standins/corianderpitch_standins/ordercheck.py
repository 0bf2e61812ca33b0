"""Check of the orders about VMs that a machine service has received.

Two holders of the scheduler's role must not order about one VM in turn within the
lease, as long as both were in touch, and no order may arrive with a lower fence
number than an earlier one about the same VM.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from corianderpitch_standins.usermachines import OrderArrival


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A span in which an entry, or every entry if ``entry`` is empty, was disturbed.

    The entry was killed, stopped, started or frozen, or the store was disturbed.
    """

    entry: str
    began_ms: float
    ended_ms: float


@dataclass(frozen=True, slots=True)
class OrderBreak:
    """Two orders about one VM that break a rule."""

    rule: str
    earlier: OrderArrival
    later: OrderArrival

    def __str__(self) -> str:
        gap_ms = self.later.arrived_ms - self.earlier.arrived_ms
        return (
            f"{self.rule}: {self.later.machine}: {self.earlier.holder} fence "
            f"{self.earlier.fence} at {self.earlier.arrived_ms:.0f} ms, "
            f"{self.later.holder} fence {self.later.fence} {gap_ms:.0f} ms later"
        )


@dataclass(frozen=True, slots=True)
class OrderRules:
    """The bounds of the rules, in milliseconds."""

    lease_ms: float
    contact_ms: float

    def find_breaks(
        self, arrivals: Iterable[OrderArrival], disturbances: Sequence[Disturbance]
    ) -> list[OrderBreak]:
        """Return the pairs of orders that break a rule, in the order of arrival."""
        breaks: list[OrderBreak] = []
        earlier: dict[str, list[OrderArrival]] = {}
        for order in arrivals:
            others = earlier.setdefault(order.machine, [])
            breaks += self._breaks_with(order, others, disturbances)
            others.append(order)
        return breaks

    def _breaks_with(
        self,
        order: OrderArrival,
        others: Sequence[OrderArrival],
        disturbances: Sequence[Disturbance],
    ) -> list[OrderBreak]:
        breaks: list[OrderBreak] = []
        for other in others:
            is_recent = order.arrived_ms - other.arrived_ms < self.lease_ms
            if other.fence > order.fence:
                breaks.append(OrderBreak("lower fence", other, order))
            if other.holder == order.holder:
                continue
            if other.fence == order.fence:
                breaks.append(OrderBreak("same fence", other, order))
            if is_recent and self._are_in_touch((other, order), disturbances):
                breaks.append(OrderBreak("turns", other, order))
        return breaks

    def _are_in_touch(
        self, orders: Iterable[OrderArrival], disturbances: Sequence[Disturbance]
    ) -> bool:
        """Tell whether each holder was in touch when its order arrived."""
        return not any(
            item.entry in ("", order.holder)
            and item.began_ms <= order.arrived_ms <= item.ended_ms + self.contact_ms
            for order in orders
            for item in disturbances
        )
