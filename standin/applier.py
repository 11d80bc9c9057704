"""One that applies: a platform that takes decisions from a leader and writes each down before it says so.

    python -m standin.applier HOST:PORT RECORD [--follow HOST:PORT,HOST:PORT] [--unfenced]

Each line of RECORD is one JSON object: `lead` where a leadership presented itself, `apply` where a decision
was applied, `stale` where one was refused. From it the stand-in knows at its start what it had promised. With
--follow it connects to the desks of instances instead of listening. --unfenced leaves out the comparison of
epochs: what a platform that cannot be taught it would do.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import time
from pathlib import Path
from typing import Any

from pinward.lead.fence import Answer, Fence

SYNC_EVERY = 64  # records in one write at the most


class Record:
    """The file that tells what was applied; the checker reads only this."""

    def __init__(self, path: Path) -> None:
        self.path, self.fence = path, Fence()
        if path.exists():
            data = path.read_bytes()
            whole = data[: data.rfind(b"\n") + 1]
            for row in map(json.loads, whole.splitlines()):
                if row["what"] in ("lead", "apply", "whole"):
                    self.fence.epoch = max(self.fence.epoch, row["epoch"])
                    self.fence.place = max(self.fence.place, row["place"])
            if len(whole) < len(data):  # a record that was never whole
                path.write_bytes(whole)
        self.file = path.open("ab")

    def keep(self, what: str, epoch: int, place: int, **facts: Any) -> None:
        row = {"what": what, "epoch": epoch, "place": place, "at": time.time(), **facts}
        self.file.write(json.dumps(row).encode() + b"\n")

    def sync(self) -> None:
        self.file.flush()
        os.fdatasync(self.file.fileno())


class Applier:
    def __init__(self, record: Record, fenced: bool = True) -> None:
        self.record, self.fenced = record, fenced

    def answer(self, line: str, leader: str) -> tuple[str, str]:
        """The answer to a leader's line, and the leader's name as told so far."""
        word, _, rest = line.partition(" ")
        fence, record = self.record.fence, self.record
        if word == "LEAD":
            epoch, leader = int(rest.split(" ")[0]), rest.split(" ")[1]
            if not self.fenced:
                fence.epoch = min(fence.epoch, epoch)
            if fence.greet(epoch) is Answer.STALE:
                record.keep("stale", epoch, fence.place, leader=leader)
                return f"STALE {fence.epoch}", leader
            record.keep("lead", epoch, fence.place, leader=leader)
            return f"OK {epoch} {fence.place}", leader
        epoch_text, place_text, facts_text = rest.split(" ", 2)
        epoch, place, facts = int(epoch_text), int(place_text), json.loads(facts_text)
        if not self.fenced:
            fence.epoch = min(fence.epoch, epoch)
        said = (fence.whole if word == "WHOLE" else fence.judge)(epoch, place)
        if said is Answer.APPLY:
            record.keep(word.lower(), epoch, place, leader=leader, **facts)
            return f"OK {place}", leader
        if said is Answer.STALE:
            record.keep("stale", epoch, place, leader=leader)
            return f"STALE {fence.epoch}", leader
        return f"{said.value.upper()} {place if said is Answer.KNOWN else fence.place}", leader

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        leader = "?"
        try:
            while line := await reader.readline():
                answers = []
                while line.endswith(b"\n"):
                    if line.startswith(b"ERR"):
                        return
                    answer, leader = self.answer(line.decode().rstrip("\r\n"), leader)
                    answers.append(answer)
                    buffered = bytes(reader._buffer)  # type: ignore[attr-defined]
                    if len(answers) >= SYNC_EVERY or b"\n" not in buffered:
                        break
                    line = await reader.readline()
                self.record.sync()
                writer.write("".join(f"{answer}\r\n" for answer in answers).encode())
                await writer.drain()
        except (OSError, ValueError, IndexError):
            pass
        finally:
            writer.close()

    async def follow(self, desks: list[tuple[str, int]]) -> None:
        """Goes from desk to desk until one leads, and stays with it."""
        while True:
            for desk in desks:
                try:
                    reader, writer = await asyncio.wait_for(asyncio.open_connection(*desk), 1.0)
                    writer.write(b"FOLLOW\r\n")
                    await self.serve(reader, writer)
                except (OSError, TimeoutError):
                    pass
                await asyncio.sleep(0.05)


def place(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


async def run(words: argparse.Namespace) -> None:
    applier = Applier(Record(words.record), not words.unfenced)
    if words.follow:
        await applier.follow([place(desk) for desk in words.follow.split(",")])
        return
    server = await asyncio.start_server(applier.serve, *place(words.address), limit=1 << 23)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("address")
    parser.add_argument("record", type=Path)
    parser.add_argument("--follow")
    parser.add_argument("--unfenced", action="store_true")
    asyncio.run(run(parser.parse_args()))
