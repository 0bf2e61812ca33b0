"""Report collector: what the entries say about VMs, asked for by the manager."""

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
REPORT_LIFETIME_MS = 3000.0


@dataclass(frozen=True, slots=True)
class _Heard:
    report: EntryReport
    heard_ms: float


class ReportCollector:
    """Asks entries for reports and keeps those that are fresh."""

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
        self._heard: dict[EntryId, _Heard] = {}
        self.start_term()
        network.handle(Report, self._on_report)

    def start_term(self) -> None:
        """Forget what an earlier term of the manager has left."""
        self._heard.clear()
        self._started_ms = self._clock.now_ms()
        self._is_informed = False

    def rest(self) -> None:
        """Note that nothing is under way, so that no plan can be half blind."""
        self._is_informed = True

    def ask(self, fleets: Mapping[DataCenterId, SiteFleet]) -> None:
        """Ask every entry of sites with draining VMs, and one of each other site.

        The others are asked less often; any entry knows which VMs of its data
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

    def fresh(self) -> dict[EntryId, EntryReport]:
        """Return the reports that are not too old to decide by."""
        now_ms = self._clock.now_ms()
        return {
            entry: heard.report
            for entry, heard in self._heard.items()
            if now_ms - heard.heard_ms < REPORT_LIFETIME_MS
        }

    def has_heard(self, sites: frozenset[DataCenterId]) -> bool:
        """Tell whether every site has reported in this term, or had time to.

        A new manager that finds VMs drained by a wave would otherwise return
        them, because nobody has told it yet that the rest of the pool is there.
        """
        if not self._is_informed:
            heard = {heard.report.data_center for heard in self._heard.values()}
            term_ms = self._clock.now_ms() - self._started_ms
            self._is_informed = sites <= heard or term_ms >= REPORT_LIFETIME_MS
        return self._is_informed

    def _entries_by_site(self) -> dict[DataCenterId, list[EntryId]]:
        by_site: dict[DataCenterId, list[EntryId]] = {}
        for info in self._membership.everybody():
            by_site.setdefault(info.data_center, []).append(info.entry)
        return by_site

    def _on_report(self, sender: EntryId, message: Report) -> None:
        self._heard[sender] = _Heard(message.report, self._clock.now_ms())
