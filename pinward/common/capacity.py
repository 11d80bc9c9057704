"""How many connections a process takes and what they may hold, by its machine's memory and descriptors."""

from __future__ import annotations

from dataclasses import dataclass

from pinward.common.connection import HEAD_SLACK

PROCESS_MB = 64  # MB of a process without clients
LEAST_PART = 0.25  # of the memory that is left to clients, where a machine has hardly more than that
POOL_PART = 1 / 3  # of the clients' memory that is shared: long heads, bodies and answers
READ_MOST = 16 * 1024  # bytes read from a connection at a time
CHUNKED_READ = 4 * 1024  # likewise of a body in chunks, until it is known how long they are
FRAMING_READ = 512  # likewise where they are short: they cost the parser many times their bytes
DROPPED_READ = 64 * 1024  # likewise of what is dropped
WRITE_MOST = 32 * 1024  # bytes of answers that wait for a client before its next request is looked at
CONNECTION = 24 * 1024  # bytes of a connection that holds nothing
FREE = 16 * 1024  # bytes of a request that are not counted: an ordinary one is never refused for lack of room
RESERVED = 200  # descriptors that the platform keeps for files
CLIENT_PART = 0.6  # of the others, for clients
MACHINE_PART = 0.3  # of the others, for connections to machines
ACCEPT_PART = 0.05  # of the others, for connections that come in one turn of the loop
SMALL = 16  # connections of a listener that serves the platform alone


@dataclass(frozen=True)
class Capacity:
    """The bounds of a process whose settings tell `memory_mb` and `descriptors`."""

    memory_mb: float
    descriptors: int

    @property
    def client_bytes(self) -> float:
        """Bytes for all that clients make the process hold."""
        return max(self.memory_mb - PROCESS_MB, LEAST_PART * self.memory_mb) * 2**20

    @property
    def pool_bytes(self) -> float:
        """Of these, bytes that connections share."""
        return POOL_PART * self.client_bytes

    def connections(self, head_bytes: int) -> int:
        """Clients' connections that are taken at a time, where each may hold a head of so many bytes."""
        each = CONNECTION + head_bytes + HEAD_SLACK + WRITE_MOST
        by_memory = (self.client_bytes - self.pool_bytes) / each
        by_descriptors = CLIENT_PART * (self.descriptors - RESERVED)
        return max(SMALL, int(min(by_memory, by_descriptors)))

    @property
    def accepts(self) -> int:
        """Connections taken in one turn of the loop: each is served or refused in the next."""
        return max(SMALL, int(ACCEPT_PART * (self.descriptors - RESERVED)))

    @property
    def sends(self) -> int:
        """Requests under way to machines at a time, and connections to machines, idle ones with them."""
        return max(SMALL, int(MACHINE_PART * (self.descriptors - RESERVED)))
