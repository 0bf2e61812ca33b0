"""What a dispatcher wants done: messages to send and instances to ask."""

from dataclasses import dataclass

from corianderpitch.domain.outcomes import Reason
from corianderpitch.ids import DataCenterId, EntryId, PermitId, RequestId, VmId


@dataclass(frozen=True, slots=True)
class Offer:
    """A granted permit: run on ``address`` and report back to ``lender``."""

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
    """Effect: tell a member that its request will not get a permit."""

    member: EntryId
    request_id: RequestId
    reason: Reason
    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class AskForSlots:
    """Effect: ask another data centre's owner for free slots."""

    data_center: DataCenterId
    ask_id: int
    count: int
    remaining_ms: float


@dataclass(frozen=True, slots=True)
class LendSlots:
    """Effect: answer another owner's ask, possibly with no offers."""

    borrower: EntryId
    ask_id: int
    offers: tuple[Offer, ...]


@dataclass(frozen=True, slots=True)
class ReturnOffer:
    """Effect: give a borrowed permit back unused."""

    lender: EntryId
    permit_id: PermitId


@dataclass(frozen=True, slots=True)
class ProbeLoad:
    """Effect: ask an instance how much it runs."""

    vm_id: VmId
    address: str


Effect = SendGrant | SendRefusal | AskForSlots | LendSlots | ReturnOffer | ProbeLoad
