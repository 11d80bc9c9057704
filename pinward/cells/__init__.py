"""Cells: customers confined to parts of the fleet, and moved between them without losing or repeating a txn.

`atlas.py` is the map of cells with its checks; `placement.py` says which cells a customer or a key belongs to
and deals nodes to cells; `moves.py` moves customers from home to home, step by step; `limits.py` says what a
cell or a customer may have open. These four, the core, are without I/O, clock and unseeded chance. `door.py`
is what a front asks, with its settings file. Why it is so: docs/design/cells.md.
"""
