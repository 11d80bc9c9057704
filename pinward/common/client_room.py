"""What the listeners of one process share: the pool of bytes, and what was refused."""

from __future__ import annotations

from pinward.common.capacity import Capacity
from pinward.common.held_bytes import HeldBytes, Reservation
from pinward.common.metrics import Metrics
from pinward.common.refusals import RefusalWatch

USUAL = Capacity(memory_mb=256.0, descriptors=1024)  # where the settings tell nothing


class ClientRoom:
    """The room for clients of one process."""

    def __init__(self, capacity: Capacity = USUAL, metrics: Metrics | None = None) -> None:
        self.capacity = capacity
        self.held = HeldBytes(capacity.pool_bytes)
        self.refusals = RefusalWatch(metrics if metrics is not None else Metrics())

    def reservation(self, free: int = 0) -> Reservation:
        """An empty one, whose first `free` bytes are not counted."""
        return Reservation(self.held, free)
