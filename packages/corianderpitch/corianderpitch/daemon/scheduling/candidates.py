"""Publishes this entry's size and compares it with the other candidates."""

import math

import eventlet
from returns.result import Failure, Success

from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.refusals import RefusalLog
from corianderpitch.domain.scheduling.candidates import (
    CANDIDATE_TIMEOUT_MS,
    Candidate,
    ElectionPriority,
    election_priority,
)
from corianderpitch.errors import MalformedData
from corianderpitch.ids import EntryId
from corianderpitch.ports import Check, Row, RowStore, TableService, Write
from corianderpitch.records import CandidateRecord, decode_row, encode_row

CANDIDATE_PREFIX = "candidate/"
RENEW_INTERVAL_MS = 8000.0  # an entry counts as gone after three missed renewals
RETRY_MS = 400.0
FIRST_START_WAIT_MS = 1500.0  # gives all entries time to publish their sizes
DELETE_AFTER_MS = 4 * CANDIDATE_TIMEOUT_MS
MAX_DELETED_PER_ROUND = 20

log = logger("candidates")


class CandidateTask:
    """Renews this entry's candidate row and computes its election priority.

    ``priority`` is ``None`` until the other entries' rows have been read once.
    ``processors`` is this entry's size.
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
        self._refusals = RefusalLog()
        self.priority: ElectionPriority | None = None

    def run(self) -> None:
        """Renew the row and compare until the thread is killed.

        The rows are read before the first write, because the read provides the
        estimate of the store's time.
        """
        while True:
            rows = self._read()
            if rows is None or not self._publish():
                eventlet.sleep(RETRY_MS / 1000.0)
            elif self._is_first_start:
                self._is_first_start = False
                eventlet.sleep(FIRST_START_WAIT_MS / 1000.0)
            else:
                self.compare(rows)
                eventlet.sleep(RENEW_INTERVAL_MS / 1000.0)

    def _read(self) -> list[Row] | None:
        match self._table.scan(CANDIDATE_PREFIX):
            case Success(rows):
                return rows
            case Failure(error):
                log.warning("Could not read the candidates.", cause=repr(error))
        return None

    def _publish(self) -> bool:
        record = CandidateRecord(self._processors, self._store.time_ms())
        write = Write(self._key, encode_row(record))
        return isinstance(self._table.commit((), (write,)), Success)

    def compare(self, rows: list[Row]) -> None:
        """Compare this entry with the candidates in ``rows``.

        A preferred entry also deletes the rows that were not renewed for
        ``DELETE_AFTER_MS``.
        """
        now_ms = self._store.time_ms()
        others: dict[EntryId, Candidate] = {}
        lapsed: list[Check] = []
        for row in rows:
            name = EntryId(row.key.removeprefix(CANDIDATE_PREFIX))
            if name == self._entry:
                continue
            record = self._decode(row, now_ms)
            if record is None:
                continue
            others[name] = Candidate(record.processors, record.sent_ms)
            if now_ms - record.sent_ms > DELETE_AFTER_MS:
                lapsed.append(Check(row.key, row.version))
        priority = election_priority(self._processors, others, now_ms)
        if self.priority is None or priority.is_preferred != self.priority.is_preferred:
            log.info(
                "Election priority changed.",
                processors=self._processors,
                others=len(others),
                eager=priority.is_preferred,
            )
        self.priority = priority
        if lapsed and priority.is_preferred:
            self._delete_lapsed(lapsed[:MAX_DELETED_PER_ROUND])

    def _decode(self, row: Row, now_ms: float) -> CandidateRecord | None:
        """Decode a candidate's row; one that cannot be read names no candidate.

        A row that was never renewed, but sent in the future, would not lapse.
        """
        try:
            record = decode_row(CandidateRecord, row.value)
            if not 0 <= record.processors < math.inf:
                raise MalformedData("processors is out of range")
            if not record.sent_ms <= now_ms + CANDIDATE_TIMEOUT_MS:
                raise MalformedData("sent_ms is out of range")
        except MalformedData as error:
            self._refusals.record(row.key, error)
            return None
        return record

    def _delete_lapsed(self, lapsed: list[Check]) -> None:
        """Delete lapsed rows; this fails if another entry deleted one first."""
        writes = tuple(Write(check.key, None) for check in lapsed)
        result = self._table.commit(tuple(lapsed), writes)
        log.info(
            "Deletion of lapsed candidates attempted.",
            count=len(lapsed),
            done=isinstance(result, Success),
        )
