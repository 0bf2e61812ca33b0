"""Document follower: keeps the configuration and the site's fleet up to date.

One entry per data centre, its representative, polls the table. The others
learn of a newer version from heartbeats and fetch it from the peer that has
it, which also works while the platform is away. A version lower than one seen
is never put in force.
"""

from collections.abc import Callable, Mapping

import eventlet
from returns.result import Success

from corianderpitch.clock import Clock
from corianderpitch.daemon.logs import logger
from corianderpitch.daemon.members import MembershipTask
from corianderpitch.daemon.network import Lane, PeerNetwork
from corianderpitch.domain.fleetfile import FleetConfig, check_fleet
from corianderpitch.domain.membership import Membership
from corianderpitch.domain.vms import SiteFleet
from corianderpitch.ids import EntryId
from corianderpitch.messages import Document, DocumentQuery, VmChange
from corianderpitch.ports import Row, TableService, version_of
from corianderpitch.records import (
    CONFIG_HEAD_KEY,
    ConfigRecord,
    decode_row,
    encode_row,
    fleet_key,
)

POLL_INTERVAL_MS = 1000.0

log = logger("documents")


class DocumentTask:
    """Follows the rows that decide how this entry works."""

    def __init__(
        self,
        membership: Membership,
        network: PeerNetwork,
        members: MembershipTask,
        table: TableService,
        clock: Clock,
    ):
        self._membership = membership
        self._network = network
        self._members = members
        self._table = table
        self._clock = clock
        self._fleet_key = fleet_key(membership.own.data_center)
        self._rows: dict[str, Row] = {}
        self.config: FleetConfig | None = None
        self.config_record: ConfigRecord | None = None
        self.fleet = SiteFleet({})
        self.on_change: Callable[[], None] = lambda: None
        members.versions = self.versions
        members.on_versions = self._on_versions
        network.handle(DocumentQuery, self._on_query)
        network.handle(Document, self._on_document)
        network.handle(VmChange, self._on_vm_change)

    @property
    def is_ready(self) -> bool:
        """Tell whether a configuration is in force."""
        return self.config is not None

    def versions(self) -> tuple[int, int]:
        """Return the row versions of configuration and fleet in force."""
        return self._version(CONFIG_HEAD_KEY), self._version(self._fleet_key)

    def run(self) -> None:
        """Poll for ever."""
        while True:
            if self._members.is_representative() or not self.is_ready:
                self.poll()
            eventlet.sleep(POLL_INTERVAL_MS / 1000.0)

    def poll(self) -> None:
        """Read what is newer than the versions in force."""
        keys = (CONFIG_HEAD_KEY, self._fleet_key)
        match self._table.read({key: self._version(key) for key in keys}):
            case Success(rows):
                self.offer(rows)

    def offer(self, rows: Mapping[str, Row]) -> None:
        """Put rows in force that are newer, and tell the other entries.

        Only representatives tell other data centres: of 128 entries each would
        otherwise open links to 15 data centres at every change.
        """
        changed = [row for row in rows.values() if self._accept(row)]
        if not changed:
            return
        self.on_change()
        self._members.send_heartbeat_round()
        has_config = any(row.key == CONFIG_HEAD_KEY for row in changed)
        if has_config and self._members.is_representative():
            self._members.send_cross_site_heartbeats()

    def _version(self, key: str) -> int:
        return version_of(self._rows.get(key))

    def _accept(self, row: Row) -> bool:
        if row.version <= self._version(row.key):
            return False
        if row.key == CONFIG_HEAD_KEY:
            if not self._accept_config(row):
                return False
        elif row.key == self._fleet_key:
            self.fleet = decode_row(SiteFleet, row.value)
        else:
            return False
        self._rows[row.key] = row
        return True

    def _accept_config(self, row: Row) -> bool:
        record = decode_row(ConfigRecord, row.value)
        checked = check_fleet(record.base_text, record.overlay_texts)
        if not isinstance(checked, FleetConfig):
            log.error("Revision {} is not valid here.", record.revision)
            return False
        self.config = checked
        self.config_record = record
        log.info("Revision {} is in force.", record.revision)
        return True

    def _on_versions(self, sender: EntryId, config: int, fleet: int) -> None:
        """Fetch from a peer what it has newer."""
        if config > self._version(CONFIG_HEAD_KEY):
            self._query(sender, CONFIG_HEAD_KEY)
        if fleet > self._version(self._fleet_key):
            self._query(sender, self._fleet_key)

    def _query(self, entry: EntryId, key: str) -> None:
        query = DocumentQuery(key, self._version(key))
        self._network.send(entry, query, Lane.BULK)

    def _on_query(self, sender: EntryId, query: DocumentQuery) -> None:
        row = self._rows.get(query.key)
        if row is not None and row.version > query.version:
            document = Document(row.key, row.version, row.value)
            self._network.send(sender, document, Lane.BULK)

    def _on_document(self, sender: EntryId, document: Document) -> None:
        row = Row(document.key, document.version, document.value)
        self.offer({row.key: row})

    def _on_vm_change(self, sender: EntryId, change: VmChange) -> None:
        """Apply a change to the row it was made to.

        An entry that has missed an earlier change gets the whole row from the
        table or, as its heartbeats show the older version, from a peer.
        """
        key = fleet_key(change.data_center)
        if key != self._fleet_key or change.base_version != self._version(key):
            return
        fleet = self.fleet.with_vm(change.vm_id, change.record)
        self.offer({key: Row(key, change.version, encode_row(fleet))})
