"""Tells other entries how much room this one has, and learns how it stands."""

import eventlet
from returns.result import Failure, Success

from corianderpitch.daemon.logs import logger
from corianderpitch.domain.scheduling.candidates import (
    LIVE_MS,
    Candidate,
    Standing,
    standing_of,
)
from corianderpitch.ids import EntryId
from corianderpitch.ports import Check, Row, RowStore, TableService, Write
from corianderpitch.records import CandidateRecord, decode_row, encode_row

CANDIDATE_PREFIX = "candidate/"
RENEW_INTERVAL_MS = 8000.0  # three are missed before an entry counts as gone
RETRY_MS = 400.0
GATHER_MS = 1500.0  # at the first start, until all entries have told their room
DROP_AFTER_MS = 4 * LIVE_MS
MAX_DROPPED = 20

log = logger("candidates")


class CandidateTask:
    """Keeps this entry's row, and its standing among the others.

    ``standing`` is ``None`` until the others' rows have been read once.
    """

    def __init__(
        self,
        table: TableService,
        store: RowStore,
        entry: EntryId,
        processors: float,
        is_first_start: bool,
    ):
        self._table = table
        self._store = store
        self._entry = entry
        self._processors = processors
        self._is_first_start = is_first_start
        self._key = CANDIDATE_PREFIX + entry
        self.standing: Standing | None = None

    def run(self) -> None:
        """Renew and compare until killed.

        The rows are read before the first one is written: the read tells the
        store's time.
        """
        while True:
            rows = self._read()
            if rows is None or not self._tell():
                eventlet.sleep(RETRY_MS / 1000.0)
            elif self._is_first_start:
                self._is_first_start = False
                eventlet.sleep(GATHER_MS / 1000.0)
            else:
                self.compare(rows)
                eventlet.sleep(RENEW_INTERVAL_MS / 1000.0)

    def _read(self) -> list[Row] | None:
        match self._table.scan(CANDIDATE_PREFIX):
            case Success(rows):
                return rows
            case Failure(error):
                log.warning("Candidates not read.", cause=repr(error))
        return None

    def _tell(self) -> bool:
        record = CandidateRecord(self._processors, self._store.time_ms())
        write = Write(self._key, encode_row(record))
        return isinstance(self._table.commit((), (write,)), Success)

    def compare(self, rows: list[Row]) -> None:
        """Compare this entry with the candidates in these rows."""
        now_ms = self._store.time_ms()
        others: dict[EntryId, Candidate] = {}
        lapsed: list[Check] = []
        for row in rows:
            name = EntryId(row.key.removeprefix(CANDIDATE_PREFIX))
            if name == self._entry:
                continue
            record = decode_row(CandidateRecord, row.value)
            others[name] = Candidate(record.processors, record.sent_ms)
            if now_ms - record.sent_ms > DROP_AFTER_MS:
                lapsed.append(Check(row.key, row.version))
        standing = standing_of(self._processors, others, now_ms)
        if self.standing is None or standing.is_eager != self.standing.is_eager:
            log.info(
                "Standing.",
                processors=self._processors,
                others=len(others),
                eager=standing.is_eager,
            )
        self.standing = standing
        if lapsed and standing.is_eager:
            self._drop(lapsed[:MAX_DROPPED])

    def _drop(self, lapsed: list[Check]) -> None:
        """Delete rows of entries that are long gone; others may have done so."""
        writes = tuple(Write(check.key, None) for check in lapsed)
        outcome = self._table.commit(tuple(lapsed), writes)
        log.info(
            "Candidates dropped.",
            count=len(lapsed),
            done=isinstance(outcome, Success),
        )
