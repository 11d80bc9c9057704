"""Leadership: several instances reach one decision, and a deposed leader cannot act.

`core.py` is the core, a majority log without I/O or clock; `ledger.py` what the log's decisions come to and
`gates.py` how votes become decisions, likewise pure. `fence.py` is the half of whoever applies: it compares
epochs. `store.py` keeps what was promised on disk, `peers.py` and `tls.py` carry words between instances,
`instance.py` brings all together on the project's scheduler. `model.py` explores the core, `trial.py` runs
real processes under faults. Why it is so: docs/design/leadership.md.
"""
