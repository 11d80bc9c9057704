"""The wire: a short round trip against a kept trace, and plain messages on what cannot be read."""

from __future__ import annotations

import json
import unittest

from pinward.wirehost.codec import MalformedError, Reader
from tests.trace import TRACES, compare


class Wire(unittest.TestCase):
    def test_round_trip(self) -> None:
        reader, lines = Reader(), []
        for text in (TRACES / "wire-in.txt").read_text().splitlines():
            reply = reader.line(text)
            lines += [] if reply is None else reply.decode().splitlines()
        compare(self, "wire-out", lines)

    def test_malformed(self) -> None:
        said = []
        for text in ('{"flush":{}', "[1]", '{"demand":{"who":"front/1"}}', '{"beginBatch":{}}'):
            said.append(self.fault([text]))
        begin = '{"beginBatch":{"simTimeS":1.0}}'
        said.append(self.fault([begin, begin]))
        said.append(self.fault([begin, '{"unheard":{"who":"front/1"}}', '{"flush":{}}']))
        said.append(self.fault([begin, '{"discovery":{"scope":"diff"}}', '{"flush":{}}']))
        create = json.loads((TRACES / "wire-in.txt").read_text().splitlines()[1])
        del create["create"]["facts"]["safety"]["coldS"]
        said.append(self.fault([begin, json.dumps(create), '{"flush":{}}']))
        compare(self, "wire-malformed", said)

    def fault(self, texts: list[str]) -> str:
        reader = Reader()
        with self.assertRaises(MalformedError) as caught:
            for text in texts:
                reader.line(text)
        return str(caught.exception)


if __name__ == "__main__":
    unittest.main()
