"""Imported first of all by the gateway's programs: keeps their start short and their memory small.

asyncio and aiohttp load OpenSSL for TLS and for digests: 8 MB and 0.1 s for each process, where no part of
the gateway speaks TLS. Both work without it, and so does logbook with an empty module of that name. Harm: TLS
cannot be had in the same process, and fails there at once; there is none.
"""

from __future__ import annotations

import sys
from types import ModuleType

LEFT_OUT = ("ssl", "_ssl", "_hashlib")

if "ssl" not in sys.modules:
    for name in LEFT_OUT:
        sys.modules[name] = None  # type: ignore[assignment]
    import aiohttp.web_server as aiohttp_web_server  # noqa: F401

    sys.modules["ssl"] = ModuleType("ssl")  # for logbook's handler of mails, which is not used
