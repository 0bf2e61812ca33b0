"""Effects of dispatch decisions: messages to send and instances to probe."""

from dataclasses import dataclass

from corianderpitch.domain.outcomes import Reason
from corianderpitch.ids import DataCenterId, EntryId, PermitId, RequestId, VmId


@dataclass(frozen=True, slots=True)
class Offer:
    """A granted permit to run one request on the instance at ``address``.

    ``lender`` is the entry that granted the permit and must get it back.
    """

    permit_id: PermitId
    vm_id: VmId
    address: str
    lender: EntryId


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Effect: tell a member that its request may run."""

    member: EntryId
    request_id: RequestId
    offer: Offer


@dataclass(frozen=True, slots=True)
class SendRefusal:
    """Effect: tell a member that its request gets no permit.

    ``retry_after_ms`` is how long the caller should wait before it tries again.
    """

    member: EntryId
    request_id: RequestId
    reason: Reason
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class BorrowSlots:
    """Effect: ask the owner of the service in another data centre for free slots.

    ``remaining_ms`` is the time until the latest deadline of the queued requests.
    """

    data_center: DataCenterId
    ask_id: int
    count: int
    remaining_ms: float


@dataclass(frozen=True, slots=True)
class LendSlots:
    """Effect: answer another owner's request for slots, possibly without offers."""

    borrower: EntryId
    ask_id: int
    offers: tuple[Offer, ...]


@dataclass(frozen=True, slots=True)
class ReturnOffer:
    """Effect: return a borrowed permit unused."""

    lender: EntryId
    permit_id: PermitId


@dataclass(frozen=True, slots=True)
class ProbeLoad:
    """Effect: ask an instance how many requests it runs."""

    vm_id: VmId
    address: str


Effect = SendGrant | SendRefusal | BorrowSlots | LendSlots | ReturnOffer | ProbeLoad
