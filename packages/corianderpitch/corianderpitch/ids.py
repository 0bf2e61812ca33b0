"""Identifiers; each kind is a distinct type based on ``str`` or ``int``."""

from typing import NewType

ClassName = NewType("ClassName", str)
DataCenterId = NewType("DataCenterId", str)
EntryId = NewType("EntryId", str)
JobId = NewType("JobId", str)
JobKind = NewType("JobKind", str)
OperationId = NewType("OperationId", str)
PermitId = NewType("PermitId", str)
PoolName = NewType("PoolName", str)
QueueName = NewType("QueueName", str)
RackId = NewType("RackId", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
ServiceName = NewType("ServiceName", str)
TaskId = NewType("TaskId", str)
TeamName = NewType("TeamName", str)
TenantName = NewType("TenantName", str)
TicketId = NewType("TicketId", str)
VmId = NewType("VmId", str)
WaveName = NewType("WaveName", str)
WorkerId = NewType("WorkerId", str)
