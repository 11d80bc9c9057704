"""The loopback network that fails on purpose does what its faults say."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from collections.abc import Awaitable, Callable

from standin.lead_trial import script
from standin.links import Network

BEFORE, BEHIND, OWN = ("127.97.1.2", 7000), ("127.97.1.1", 7000), "127.97.2.1"


class Links(unittest.TestCase):
    def play(self, what: Callable[[Network, list[bytes]], Awaitable[None]]) -> list[bytes]:
        """What the listener heard, in order, while `what` happened before it."""
        heard: list[bytes] = []

        async def listener(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                while line := await reader.readline():
                    heard.append(line.strip())
                    writer.write(b"ok\n")
            writer.close()

        async def whole() -> None:
            net = Network()
            net.names[OWN] = "a"
            server = await asyncio.start_server(listener, *BEHIND)
            await net.proxy("b", BEFORE, BEHIND)
            try:
                async with asyncio.timeout(10.0):
                    await what(net, heard)
            finally:
                server.close()
                await net.close()
                await asyncio.sleep(0.05)  # until the listener has closed its side

        asyncio.run(whole())
        return heard

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*BEFORE, local_addr=(OWN, 0))

    def test_cut_bytes_wait_and_come_once_it_is_whole(self) -> None:
        async def what(net: Network, heard: list[bytes]) -> None:
            reader, writer = await self.connect()
            writer.write(b"one\n")
            await reader.readline()
            net.cut("a", "b")
            writer.write(b"two\n")
            await asyncio.sleep(0.1)
            self.assertEqual(heard, [b"one"])
            net.mend("a", "b")
            await reader.readline()
            writer.close()

        self.assertEqual(self.play(what), [b"one", b"two"])

    def test_one_way_cuts_hold_answers_alone(self) -> None:
        async def what(net: Network, heard: list[bytes]) -> None:
            reader, writer = await self.connect()
            net.cut("b", "a")
            writer.write(b"one\n")
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(reader.readline(), 0.1)
            self.assertEqual(heard, [b"one"])
            net.mend_all()
            writer.close()

        self.play(what)

    def test_late_bytes_of_a_given_up_connection_come_after_those_of_a_newer(self) -> None:
        async def what(net: Network, heard: list[bytes]) -> None:
            reader, writer = await self.connect()
            writer.write(b"one\n")
            await reader.readline()
            net.cut("a", "b")
            writer.write(b"late\n")
            await asyncio.sleep(0.05)
            writer.close()
            held = net.links.pop(("a", "b"))  # the newer connection finds the link whole
            newer_reader, newer = await self.connect()
            newer.write(b"new\n")
            await newer_reader.readline()
            held.whole.set()
            await asyncio.sleep(0.1)
            newer.close()

        self.assertEqual(self.play(what), [b"one", b"new", b"late"])

    def test_a_reset_breaks_what_is_on_its_way(self) -> None:
        async def what(net: Network, heard: list[bytes]) -> None:
            reader, writer = await self.connect()
            writer.write(b"one\n")
            await reader.readline()
            net.reset("a", "b")
            net.reset("b", "a")
            with self.assertRaises((ConnectionError, AssertionError)):
                writer.write(b"two\n")
                self.assertNotEqual(await reader.readline(), b"")
            writer.close()

        self.assertEqual(self.play(what), [b"one"])

    def test_a_refused_link_takes_nobody(self) -> None:
        async def what(net: Network, heard: list[bytes]) -> None:
            net.link("a", "b").refused = True
            reader, writer = await self.connect()
            self.assertEqual(await reader.read(), b"")
            writer.close()

        self.assertEqual(self.play(what), [])

    def test_a_seed_gives_the_same_script(self) -> None:
        first = [str(step) for step in script(3, ["i1", "i2", "i3"], 20.0)]
        self.assertEqual(first, [str(step) for step in script(3, ["i1", "i2", "i3"], 20.0)])
        self.assertNotEqual(first, [str(step) for step in script(4, ["i1", "i2", "i3"], 20.0)])
