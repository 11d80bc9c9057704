"""Settings of ours: a line-based file, read and checked in one place for every subsystem.

`grammar.py` reads lines, quotes, blocks and includes; `values.py` holds times, sizes and addresses;
`sheet.py` checks a file against a pydantic model and tells every fault at once. The core is `grammar.parse`.
"""

from pinward.settings.grammar import Directive, Fault, FaultyFileError
from pinward.settings.sheet import Block, read
from pinward.settings.values import Address, Name, Seconds, Share, Size

__all__ = [
    "Address", "Block", "Directive", "Fault", "FaultyFileError", "Name", "Seconds", "Share", "Size", "read",
]  # fmt: skip
