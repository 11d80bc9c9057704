"""Owners: one owner at a time for work on behalf of the fleet; an old one that wakes late does no harm.

`terms.py` has the words, and the times that leases and takeovers come to. `book.py` is what the leadership's
log says of duties: who owns which part under which token, and how far one-off work has come. `steward.py` is
the leader's half, which grants, takes over, hands over and balances; `holder.py` the owner's, which asks its
clock at the moment of acting. These four, the core, are without I/O, clock and unseeded chance. Who takes an
effect compares tokens with `lead/fence.py`. `file.py` reads the settings, `office.py` brings the
steward into a control instance, `member.py` a holder into a front or, by `process.py`, a process alone;
`probing.py` is work done so and `watchers.py` begins it.
`simulated.py` plays many members in simulated time, `model.py` explores. Why: docs/design/owners.md.
"""
