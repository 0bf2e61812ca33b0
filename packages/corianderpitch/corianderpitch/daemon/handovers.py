"""Conversion of a ticket store to hand-over messages and back."""

from corianderpitch.domain.tickets import TicketStore
from corianderpitch.ids import EntryId
from corianderpitch.messages import FinishedTicket, OutcomeRecord, TicketHandover

MAX_PART_BYTES = 4 * 1024 * 1024
FINISHED_TICKET_OVERHEAD_BYTES = 100  # in addition to the answer's body


def handover_messages(store: TicketStore, now_ms: float) -> list[TicketHandover]:
    """Return the messages that hand a store over to another entry.

    The finished tickets are split into parts, so that each message stays within
    the size limit of the protocol.

    Parameters
    ----------
    store
        Tickets of one entry incarnation.
    now_ms
        Time on the clock of the sender, which need not be the issuer.
    """
    parts = _split_finished(store)
    return [
        TicketHandover(
            store.issuer,
            store.incarnation,
            store.secret,
            now_ms - store.clock_offset_ms,
            number,
            len(parts),
            finished,
        )
        for number, finished in enumerate(parts)
    ]


def _split_finished(store: TicketStore) -> list[tuple[FinishedTicket, ...]]:
    parts: list[list[FinishedTicket]] = [[]]
    part_bytes = 0
    for number, issued_ms, outcome in store.finished_tickets():
        record = OutcomeRecord.from_outcome(outcome)
        ticket_bytes = FINISHED_TICKET_OVERHEAD_BYTES + len(record.body)
        if parts[-1] and part_bytes + ticket_bytes > MAX_PART_BYTES:
            parts.append([])
            part_bytes = 0
        parts[-1].append(FinishedTicket(number, issued_ms, record))
        part_bytes += ticket_bytes
    return [tuple(part) for part in parts]


class HandoverCollector:
    """Collects the parts of ticket stores that are handed over to this entry."""

    def __init__(self):
        self._parts: dict[tuple[EntryId, str], dict[int, TicketHandover]] = {}

    def add(self, handover: TicketHandover, now_ms: float) -> TicketStore | None:
        """Add a part and return the store if it is complete, else ``None``.

        An incomplete store must not be used, because it could start a ticket that
        has already run. ``now_ms`` is the time on this entry's clock.
        """
        key = (handover.issuer, handover.incarnation)
        parts = self._parts.setdefault(key, {})
        parts[handover.part] = handover
        if len(parts) < handover.part_count:
            return None
        del self._parts[key]
        store = TicketStore(*key, handover.secret, now_ms - handover.now_ms)
        for _, part in sorted(parts.items()):
            store.restore_finished(
                [
                    (item.number, item.issued_ms, item.outcome.to_outcome())
                    for item in part.finished
                ]
            )
        return store
