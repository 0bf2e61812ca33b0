"""Report collector: queries the entries' reports on VMs for the manager."""

import random
from collections.abc import Mapping
from dataclasses import dataclass

from corianderpitch.clock import Clock
from corianderpitch.daemon.network import PeerNetwork
from corianderpitch.domain.manager import EntryReport
from corianderpitch.domain.membership import Membership
from corianderpitch.domain.vms import SiteFleet, VmState
from corianderpitch.ids import DataCenterId, EntryId
from corianderpitch.messages import Report, ReportQuery

SITE_QUERY_INTERVAL_MS = 1000.0
REPORT_MAX_AGE_MS = 3000.0


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    report: EntryReport
    received_ms: float


class ReportCollector:
    """Queries entries for reports and keeps the latest report of each."""

    def __init__(
        self,
        membership: Membership,
        network: PeerNetwork,
        clock: Clock,
        rng: random.Random,
    ):
        self._membership = membership
        self._network = network
        self._clock = clock
        self._rng = rng
        self._next_site_query_ms = 0.0
        self._received: dict[EntryId, _ReceivedReport] = {}
        self.start_term()
        network.handle(Report, self._on_report)

    def start_term(self) -> None:
        """Discard the reports of an earlier term of the manager."""
        self._received.clear()
        self._started_ms = self._clock.now_ms()
        self._is_complete = False

    def mark_idle(self) -> None:
        """Record that no operation is in progress.

        From then on, plans of this term need not wait for a report of every data
        centre.
        """
        self._is_complete = True

    def send_queries(self, fleets: Mapping[DataCenterId, SiteFleet]) -> None:
        """Query all entries of sites with draining VMs, and one of each other site.

        The other sites are queried less often, every ``SITE_QUERY_INTERVAL_MS``. One
        entry suffices there, because any entry can report which VMs of its data
        centre do not answer.
        """
        now_ms = self._clock.now_ms()
        is_due = now_ms >= self._next_site_query_ms
        if is_due:
            self._next_site_query_ms = now_ms + SITE_QUERY_INTERVAL_MS
        for site, entries in self._entries_by_site().items():
            fleet = fleets.get(site, SiteFleet({}))
            vm_ids = tuple(v for v, _ in fleet.in_state(VmState.DRAINING))
            if vm_ids:
                for entry in entries:
                    self._network.send(entry, ReportQuery(vm_ids))
            elif is_due:
                self._network.send(self._rng.choice(entries), ReportQuery(()))

    def fresh_reports(self) -> dict[EntryId, EntryReport]:
        """Return the reports that are younger than ``REPORT_MAX_AGE_MS``."""
        now_ms = self._clock.now_ms()
        return {
            entry: received.report
            for entry, received in self._received.items()
            if now_ms - received.received_ms < REPORT_MAX_AGE_MS
        }

    def is_complete(self, sites: frozenset[DataCenterId]) -> bool:
        """Return whether every site has reported in this term, or had time to.

        A site has had time once the term has lasted ``REPORT_MAX_AGE_MS``. Without
        this wait, a new manager would cancel the drains of a running wave: it has no
        reports yet, so the other VMs of the pool count as unavailable.
        """
        if not self._is_complete:
            reporting = {
                received.report.data_center for received in self._received.values()
            }
            term_ms = self._clock.now_ms() - self._started_ms
            self._is_complete = sites <= reporting or term_ms >= REPORT_MAX_AGE_MS
        return self._is_complete

    def _entries_by_site(self) -> dict[DataCenterId, list[EntryId]]:
        by_site: dict[DataCenterId, list[EntryId]] = {}
        for info in self._membership.all_members():
            by_site.setdefault(info.data_center, []).append(info.entry)
        return by_site

    def _on_report(self, sender: EntryId, message: Report) -> None:
        self._received[sender] = _ReceivedReport(message.report, self._clock.now_ms())
