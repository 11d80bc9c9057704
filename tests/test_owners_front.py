"""A front that is a member: it probes its share of its list's nodes and hears what owners found."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tempfile
import threading
import time
import unittest
from pathlib import Path
from unittest import mock

from standin.installation import DESK_PORT, Installation
from tests.test_front import Whole as Fronts
from tests.test_front import ask, look

OWNERS = (
    "owners {", "  hold 1s", "  member-beat 100ms", "  flight 100ms", "  takeover 6s", "  warm 200ms",
    "  duty probe {", "    kind split", "    parts 2", "    fenced no", "  }", "}",
)  # fmt: skip


class Member(Fronts):
    """Inherits how fronts are started and ended; its own test alone runs."""

    def test_probes(self) -> None:
        """The front takes the duty of probing its nodes, hears what was found, and serves all the while."""
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        play, loop = Installation(1, 3, folder, 58), asyncio.new_event_loop()
        thread = threading.Thread(target=loop.run_forever, daemon=True)
        thread.start()

        def run(work: object) -> object:
            return asyncio.run_coroutine_threadsafe(work, loop).result(30.0)  # type: ignore[arg-type]

        async def begin() -> None:
            await play.add_instances(list(OWNERS))
            play.start_all()
            await play.await_leader()

        run(begin())
        try:
            desks = [f"desk {n} {{\n  address {play.shown(n)}:{DESK_PORT}\n}}" for n in play.names]
            told = [
                "name f1", f"state {folder / 'f1'}", "hold 1s", "member-beat 100ms", "flight 100ms", *desks,
                "probe probe {", "  parts 2", "  period 200ms", "  path /nothing-here", "}",
            ]  # fmt: skip
            (folder / "f1.conf").write_text("\n".join(told) + "\n")
            with mock.patch.dict(os.environ, {"PINWARD_OWNERS": str(folder / "f1.conf")}):
                front = self.start()
            time.sleep(4.0)
            self.assertTrue(ask(look("quote", "settle")).startswith("200"))
            shown = run(play.shown_by_leader())
            front.send_signal(signal.SIGTERM)
            out = front.communicate(timeout=10)[0]
        finally:
            run(play.close())
            loop.call_soon_threadsafe(loop.stop)
            thread.join(5.0)
        self.assertEqual({"f1"}, {owner for owner, *_ in shown["parts"].values()})
        events = [json.loads(line) for line in out.splitlines()]
        probed = {row["node"] for row in events if row["event"] == "probed"}
        self.assertEqual({"s-one", "s-two"}, probed)


    test_a_front = test_bad_clients = test_clients_that_stay = test_new_configuration = None  # type: ignore


del Fronts

if __name__ == "__main__":
    unittest.main()
