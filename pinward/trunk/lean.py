"""Imported before aiohttp by the gateway's programs: keeps their start short.

aiohttp reads the machine's store of certificates as it is imported: 130 ms and 2 MB for each process, where
no
part of the gateway speaks TLS. OpenSSL's own variables name an empty store instead. Harm: a client of TLS in
the same process would trust nobody; there is none.
"""

from __future__ import annotations

import os

os.environ["SSL_CERT_FILE"] = os.environ["SSL_CERT_DIR"] = os.devnull
