"""A target of owners' effects: it writes down each one, with whether it was let in, before it answers.

    python -m standin.target HOST:PORT RECORD FOLDER [--unfenced]

A line is `EFFECT <part> <token> <step> <who>`, the answer `OK` or `STALE <token>`. Tokens are kept in FOLDER
by the project's own code before an effect is written down. --unfenced lets all in, as a target would that
cannot compare tokens. RECORD has one JSON object a line, with the time of the machine's monotonic clock.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import time
from pathlib import Path

from pinward import points
from pinward.lead.fence import Answer
from pinward.lead.store import StoreError
from pinward.owners.member import Tokens


class Target:
    def __init__(self, record: Path, folder: Path, fenced: bool) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.tokens, self.fenced = Tokens(folder), fenced
        self.tokens.open()
        self.file = record.open("ab")

    def note(self, **row: object) -> None:
        self.file.write(json.dumps({"at": time.monotonic(), **row}).encode() + b"\n")
        self.file.flush()
        os.fdatasync(self.file.fileno())

    def effect(self, part: str, token: int, step: int, who: str) -> str:
        row = {"part": part, "token": token, "step": step, "who": who}
        try:
            answer = self.tokens.fences.admit(part, token) if self.fenced else Answer.KNOWN
        except StoreError as fault:
            self.note(what="full", why=str(fault), **row)
            return "FULL"
        points.reach("admitted")
        if answer in (Answer.APPLY, Answer.KNOWN):
            self.note(what="effect", **row)
            return "OK"
        self.note(what="stale", **row)
        return f"STALE {self.tokens.fences.token(part)}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                word, part, token, step, who = line.decode().split()
                if word == "EFFECT":
                    writer.write(f"{self.effect(part, int(token), int(step), who)}\r\n".encode())
                    await writer.drain()
        except (OSError, ValueError):
            pass
        finally:
            writer.close()


async def run(words: argparse.Namespace) -> None:
    target = Target(words.record, words.folder, not words.unfenced)
    host, _, port = words.address.rpartition(":")
    server = await asyncio.start_server(target.serve, host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("address")
    parser.add_argument("record", type=Path)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--unfenced", action="store_true")
    asyncio.run(run(parser.parse_args()))
