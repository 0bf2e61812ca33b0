"""Messages that entries exchange with each other."""

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
    """Periodic message by which the receiver detects that the sender is alive.

    ``echo`` is the last sequence number received from the receiver.
    ``config_version`` and ``fleet_version`` are the row versions that the sender
    applies. ``unavailable`` lists the VMs that do not answer the sender, and
    ``needs`` the slots that the services it owns require.
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
    """The sender is about to exit and accepts no more requests."""


@message(4)
@dataclass(frozen=True, slots=True)
class Members:
    """Entries in the sender's member list."""

    members: tuple[MemberInfo, ...]


@message(5)
@dataclass(frozen=True, slots=True)
class MembersQuery:
    """Requests the receiver's member list."""


@message(10)
@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Requests a permit from the owner of a service.

    The request expires after ``remaining_ms``. A VM in ``excluded`` is granted only
    if no other VM has a free slot.
    """

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
    """Refuses a permit request permanently."""

    service: ServiceName
    request_id: RequestId
    reason: Reason
    retry_after_ms: int


@message(14)
@dataclass(frozen=True, slots=True)
class PermitRelease:
    """Returns a permit to the entry that granted it."""

    service: ServiceName
    permit_id: PermitId
    result: RunResult
    run_ms: float


@dataclass(frozen=True, slots=True)
class HeldPermit:
    """A permit that its holder reports to the new owner of the service."""

    permit_id: PermitId
    vm_id: VmId
    remaining_ms: float


@message(15)
@dataclass(frozen=True, slots=True)
class AttachToOwner:
    """The sender now treats the receiver as the owner of the service.

    ``permits`` lists the permits that the sender holds.
    """

    service: ServiceName
    permits: tuple[HeldPermit, ...]


@message(16)
@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Requests free slots from the owner in another data centre."""

    service: ServiceName
    borrower: EntryId
    ask_id: int
    count: int
    remaining_ms: float


@message(17)
@dataclass(frozen=True, slots=True)
class SlotOffers:
    """Answers a :class:`SlotRequest`."""

    service: ServiceName
    data_center: DataCenterId
    ask_id: int
    offers: tuple[Offer, ...]


@message(18)
@dataclass(frozen=True, slots=True)
class NotOwner:
    """Rejects a request because the sender does not own the service."""

    service: ServiceName
    request_id: RequestId


@message(20)
@dataclass(frozen=True, slots=True)
class TicketCall:
    """Forwards a caller's request with a ticket to the entry that issued the ticket.

    Without a body it requests only the outcome.
    """

    call_id: str
    ticket: TicketId
    remaining_ms: float
    content_type: str
    body: bytes | None


@dataclass(frozen=True, slots=True)
class OutcomeRecord:
    """An outcome in its wire form; fields that do not apply to its kind are empty."""

    kind: OutcomeKind
    status: int
    content_type: str
    body: bytes
    reason: Reason | None
    retry_after_ms: int

    @classmethod
    def from_outcome(cls, outcome: Outcome) -> "OutcomeRecord":
        """Convert an outcome to a record."""
        match outcome:
            case Answered(status, content_type, body):
                return cls(OutcomeKind.ANSWERED, status, content_type, body, None, 0)
            case NotRun(reason, retry_after_ms):
                return cls(OutcomeKind.NOT_RUN, 0, "", b"", reason, retry_after_ms)
            case Unknown(reason):
                return cls(OutcomeKind.UNKNOWN, 0, "", b"", reason, 0)

    def to_outcome(self) -> Outcome:
        """Convert the record back to an outcome."""
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
    """The outcome of a ticket; ``None`` means that the ticket was not accepted."""

    call_id: str
    outcome: OutcomeRecord | None


@message(24)
@dataclass(frozen=True, slots=True)
class TicketAccepted:
    """Acknowledges a :class:`TicketCall` before its outcome is known."""

    call_id: str


@dataclass(frozen=True, slots=True)
class FinishedTicket:
    """A ticket that has ended, as part of a hand-over."""

    number: int
    issued_ms: int
    outcome: OutcomeRecord


@message(22)
@dataclass(frozen=True, slots=True)
class TicketHandover:
    """Hands the tickets of an entry that shuts down in order over to the receiver.

    ``now_ms`` is the issuer's clock at the time of sending. A long record is split
    into ``part_count`` messages, and ``part`` is the index of this one, from 0.
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
    """Announces that ``successor`` now answers for an incarnation's tickets."""

    issuer: EntryId
    incarnation: str
    successor: MemberInfo


@message(30)
@dataclass(frozen=True, slots=True)
class DocumentQuery:
    """Requests a document if the receiver's version is higher than ``version``."""

    key: str
    version: int


@message(31)
@dataclass(frozen=True, slots=True)
class Document:
    """A row of the table in the latest version that the sender has."""

    key: str
    version: int
    value: bytes


@message(32)
@dataclass(frozen=True, slots=True)
class VmChange:
    """Change by one transaction to the row of a data centre's VMs.

    The row at ``version`` equals that at ``base_version``, except for the record of
    one VM.
    """

    data_center: DataCenterId
    base_version: int
    version: int
    vm_id: VmId
    record: VmRecord


@message(40)
@dataclass(frozen=True, slots=True)
class ReportQuery:
    """Request by the manager for a report on VMs that are being drained."""

    vm_ids: tuple[VmId, ...]


@message(41)
@dataclass(frozen=True, slots=True)
class Report:
    """Answers a :class:`ReportQuery`."""

    report: EntryReport


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """State of a service at its owner in one data centre."""

    service: ServiceName
    waiting: int
    held_slots: int
    free_slots: int


@dataclass(frozen=True, slots=True)
class VmWait:
    """Reason why the manager does not continue a VM's operation."""

    vm_id: VmId
    wait: WaitReason


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """Status of an entry as shown to operators.

    ``revision`` and ``fleet_version`` are those that the entry applies.
    ``platform_age_ms`` is the time since the platform last answered this entry, or
    ``None`` if it never did. ``quarantined`` lists the workers to which the
    scheduler assigns no jobs, because every task that they start fails.
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
    """Requests an entry's status."""


@message(51)
@dataclass(frozen=True, slots=True)
class Status:
    """Answers a :class:`StatusQuery`."""

    status: EntryStatus
