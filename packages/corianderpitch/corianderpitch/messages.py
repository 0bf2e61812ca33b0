"""Messages between entries."""

from dataclasses import dataclass

from corianderpitch.domain.effects import Offer
from corianderpitch.domain.lending import ServiceNeed
from corianderpitch.domain.manager import EntryReport, WaitReason
from corianderpitch.domain.membership import MemberInfo
from corianderpitch.domain.outcomes import (
    Answered,
    NotRun,
    Outcome,
    OutcomeKind,
    Reason,
    Unknown,
)
from corianderpitch.domain.slots import RunResult
from corianderpitch.domain.vms import VmRecord
from corianderpitch.ids import (
    ClassName,
    DataCenterId,
    EntryId,
    PermitId,
    RequestId,
    ServiceName,
    TenantName,
    TicketId,
    VmId,
    WorkerId,
)
from corianderpitch.wire import message


@message(1)
@dataclass(frozen=True, slots=True)
class Hello:
    """First message of every connection."""

    member: MemberInfo


@message(2)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sign of life; ``echo`` is the last sequence heard from the receiver.

    ``config_version`` and ``fleet_version`` are the row versions that the
    sender has in force. ``unavailable`` lists VMs that do not answer it, and
    ``needs`` the requests of the services that it owns.
    """

    sequence: int
    echo: int
    config_version: int
    fleet_version: int
    unavailable: tuple[VmId, ...]
    needs: tuple[ServiceNeed, ...]


@message(3)
@dataclass(frozen=True, slots=True)
class Leaving:
    """The sender is about to exit and serves no more."""


@message(4)
@dataclass(frozen=True, slots=True)
class Members:
    """Entries that the sender knows."""

    members: tuple[MemberInfo, ...]


@message(5)
@dataclass(frozen=True, slots=True)
class MembersQuery:
    """Asks for all the entries that the receiver knows."""


@message(10)
@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Asks the owner of a service for a permit."""

    service: ServiceName
    request_id: RequestId
    tenant: TenantName
    class_name: ClassName
    remaining_ms: float
    excluded: frozenset[VmId]


@message(11)
@dataclass(frozen=True, slots=True)
class PermitCancel:
    """Withdraws a permit request."""

    service: ServiceName
    request_id: RequestId


@message(12)
@dataclass(frozen=True, slots=True)
class PermitGrant:
    """Grants a permit."""

    service: ServiceName
    request_id: RequestId
    offer: Offer


@message(13)
@dataclass(frozen=True, slots=True)
class PermitRefusal:
    """Refuses a permit for good."""

    service: ServiceName
    request_id: RequestId
    reason: Reason
    retry_after_ms: int


@message(14)
@dataclass(frozen=True, slots=True)
class PermitRelease:
    """Gives a permit back to the entry that granted it."""

    service: ServiceName
    permit_id: PermitId
    result: RunResult
    run_ms: float


@dataclass(frozen=True, slots=True)
class HeldPermit:
    """A permit as its holder reports it to a new owner."""

    permit_id: PermitId
    vm_id: VmId
    remaining_ms: float


@message(15)
@dataclass(frozen=True, slots=True)
class Attach:
    """The sender takes the receiver as the service's owner from now on."""

    service: ServiceName
    permits: tuple[HeldPermit, ...]


@message(16)
@dataclass(frozen=True, slots=True)
class SlotAsk:
    """Asks the owner in another data centre for free slots."""

    service: ServiceName
    borrower: EntryId
    ask_id: int
    count: int
    remaining_ms: float


@message(17)
@dataclass(frozen=True, slots=True)
class SlotOffers:
    """Answers a :class:`SlotAsk`."""

    service: ServiceName
    data_center: DataCenterId
    ask_id: int
    offers: tuple[Offer, ...]


@message(18)
@dataclass(frozen=True, slots=True)
class NotOwner:
    """Tells a member that the sender does not own the service."""

    service: ServiceName
    request_id: RequestId


@message(20)
@dataclass(frozen=True, slots=True)
class TicketCall:
    """Passes a caller's use of a ticket to the ticket's issuer.

    Without a body it only asks for the outcome.
    """

    call_id: str
    ticket: TicketId
    remaining_ms: float
    content_type: str
    body: bytes | None


@dataclass(frozen=True, slots=True)
class OutcomeRecord:
    """An outcome as it travels; fields that do not apply are empty."""

    kind: OutcomeKind
    status: int
    content_type: str
    body: bytes
    reason: Reason | None
    retry_after_ms: int

    @classmethod
    def from_outcome(cls, outcome: Outcome) -> "OutcomeRecord":
        """Return the record of an outcome."""
        match outcome:
            case Answered(status, content_type, body):
                return cls(OutcomeKind.ANSWERED, status, content_type, body, None, 0)
            case NotRun(reason, retry_after_ms):
                return cls(OutcomeKind.NOT_RUN, 0, "", b"", reason, retry_after_ms)
            case Unknown(reason):
                return cls(OutcomeKind.UNKNOWN, 0, "", b"", reason, 0)

    def to_outcome(self) -> Outcome:
        """Return the outcome of a record."""
        match self.kind:
            case OutcomeKind.ANSWERED:
                return Answered(self.status, self.content_type, self.body)
            case OutcomeKind.NOT_RUN:
                return NotRun(self.reason, self.retry_after_ms)
            case OutcomeKind.UNKNOWN:
                return Unknown(self.reason)


@message(21)
@dataclass(frozen=True, slots=True)
class TicketReply:
    """The outcome of a ticket; ``None`` means that it was not accepted."""

    call_id: str
    outcome: OutcomeRecord | None


@message(24)
@dataclass(frozen=True, slots=True)
class TicketAccepted:
    """Confirms a :class:`TicketCall` before its outcome is known."""

    call_id: str


@dataclass(frozen=True, slots=True)
class FinishedTicket:
    """A ticket that has ended, as it is handed over."""

    number: int
    issued_ms: int
    outcome: OutcomeRecord


@message(22)
@dataclass(frozen=True, slots=True)
class TicketHandover:
    """Hands the tickets of an entry that exits in order to the receiver.

    ``now_ms`` is the issuer's clock at the time of sending. A long record comes
    in ``part_count`` parts; ``part`` counts from 0.
    """

    issuer: EntryId
    incarnation: str
    secret: bytes
    now_ms: float
    part: int
    part_count: int
    finished: tuple[FinishedTicket, ...]


@message(23)
@dataclass(frozen=True, slots=True)
class TicketSuccessor:
    """Tells that ``successor`` now answers for an incarnation's tickets."""

    issuer: EntryId
    incarnation: str
    successor: MemberInfo


@message(30)
@dataclass(frozen=True, slots=True)
class DocumentQuery:
    """Asks for a document, if the receiver's version is above ``version``."""

    key: str
    version: int


@message(31)
@dataclass(frozen=True, slots=True)
class Document:
    """A row of the table as the sender last saw it."""

    key: str
    version: int
    value: bytes


@message(32)
@dataclass(frozen=True, slots=True)
class VmChange:
    """What a transaction has changed in a data centre's row of VMs.

    The row at ``version`` is the one at ``base_version`` with one VM replaced.
    """

    data_center: DataCenterId
    base_version: int
    version: int
    vm_id: VmId
    record: VmRecord


@message(40)
@dataclass(frozen=True, slots=True)
class ReportQuery:
    """The manager asks for a report on VMs that are being drained."""

    vm_ids: tuple[VmId, ...]


@message(41)
@dataclass(frozen=True, slots=True)
class Report:
    """Answers a :class:`ReportQuery`."""

    report: EntryReport


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """A service as its owner in one data centre sees it."""

    service: ServiceName
    waiting: int
    held_slots: int
    free_slots: int


@dataclass(frozen=True, slots=True)
class VmWait:
    """Why the manager does not go on with a VM's operation."""

    vm_id: VmId
    wait: WaitReason


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """What an entry has in force, as operators see it.

    ``platform_age_ms`` is the time since the platform last answered this
    entry, or ``None`` if it never did. ``quarantined`` lists the workers that
    the scheduler gives no jobs, because they fail whatever they start.
    """

    entry: EntryId
    data_center: DataCenterId
    revision: int
    fleet_version: int
    platform_age_ms: float | None
    is_manager: bool
    is_draining: bool
    owned: tuple[ServiceStatus, ...]
    waits: tuple[VmWait, ...]
    is_scheduler: bool
    quarantined: tuple[WorkerId, ...]


@message(50)
@dataclass(frozen=True, slots=True)
class StatusQuery:
    """Asks for an entry's status."""


@message(51)
@dataclass(frozen=True, slots=True)
class Status:
    """Answers a :class:`StatusQuery`."""

    status: EntryStatus
