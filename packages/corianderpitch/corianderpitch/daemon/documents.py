"""Document task: keeps the configuration and the data centre's fleet up to date.

Both are rows of the table, each with a version. One entry per data centre, its
representative, polls the table. The other entries see newer versions in heartbeats
and fetch the row from the peer that sent the heartbeat, which also works during an
outage of the platform. An entry never replaces a row by one of a lower version.
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
    """Keeps this entry's configuration and fleet up to date.

    ``on_change`` is called after either has changed. ``config`` and
    ``config_record`` are ``None`` until a valid configuration has been received.
    """

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
        self._fleet_key = fleet_key(membership.local_member.data_center)
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
        """Return whether a configuration is in force."""
        return self.config is not None

    def versions(self) -> tuple[int, int]:
        """Return the row versions of the configuration and the fleet, 0 if absent."""
        return self._version(CONFIG_HEAD_KEY), self._version(self._fleet_key)

    def run(self) -> None:
        """Poll the table for ever.

        An entry that is not the representative polls only until it has a
        configuration.
        """
        while True:
            if self._members.is_representative() or not self.is_ready:
                self.poll()
            eventlet.sleep(POLL_INTERVAL_MS / 1000.0)

    def poll(self) -> None:
        """Read the rows that are newer in the table, and put them in force."""
        keys = (CONFIG_HEAD_KEY, self._fleet_key)
        match self._table.read({key: self._version(key) for key in keys}):
            case Success(rows):
                self.apply_rows(rows)

    def apply_rows(self, rows: Mapping[str, Row]) -> None:
        """Put the newer ones of the rows in force, and announce their versions.

        Heartbeats announce the versions. Only representatives send them to other
        data centres; otherwise each of 128 entries would open links to 15 data
        centres at every change of the configuration.
        """
        changed = [row for row in rows.values() if self._apply_row(row)]
        if not changed:
            return
        self.on_change()
        self._members.send_heartbeat_round()
        has_config = any(row.key == CONFIG_HEAD_KEY for row in changed)
        if has_config and self._members.is_representative():
            self._members.send_cross_site_heartbeats()

    def _version(self, key: str) -> int:
        return version_of(self._rows.get(key))

    def _apply_row(self, row: Row) -> bool:
        if row.version <= self._version(row.key):
            return False
        if row.key == CONFIG_HEAD_KEY:
            if not self._apply_config(row):
                return False
        elif row.key == self._fleet_key:
            self.fleet = decode_row(SiteFleet, row.value)
        else:
            return False
        self._rows[row.key] = row
        return True

    def _apply_config(self, row: Row) -> bool:
        record = decode_row(ConfigRecord, row.value)
        fleet_config = check_fleet(record.base_text, record.overlay_texts)
        if not isinstance(fleet_config, FleetConfig):
            log.error("Ignored revision {}, which is not valid here.", record.revision)
            return False
        self.config = fleet_config
        self.config_record = record
        log.info("Revision {} is in force.", record.revision)
        return True

    def _on_versions(self, sender: EntryId, config: int, fleet: int) -> None:
        """Fetch the rows of which a peer has a newer version."""
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
        self.apply_rows({row.key: row})

    def _on_vm_change(self, sender: EntryId, change: VmChange) -> None:
        """Apply a change of one VM to the row version that it is based on.

        A change that is based on another version is ignored. An entry that has
        missed an earlier change gets the whole row from the table, or from a peer
        whose heartbeat shows a newer version.
        """
        key = fleet_key(change.data_center)
        if key != self._fleet_key or change.base_version != self._version(key):
            return
        fleet = self.fleet.with_vm(change.vm_id, change.record)
        self.apply_rows({key: Row(key, change.version, encode_row(fleet))})
