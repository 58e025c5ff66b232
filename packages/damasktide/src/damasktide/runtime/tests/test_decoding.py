"""Bounded decoding of JSON: size, depth, numbers and types."""

import unittest
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from damasktide.runtime.decoding import MalformedDataError, json_decoder


@dataclass(frozen=True, slots=True)
class Sample:
    name: str
    count: Annotated[int, Meta(ge=0, le=100)] = 0


class TestJsonDecoder(unittest.TestCase):
    def setUp(self) -> None:
        self.decode = json_decoder(Sample, max_bytes=300_000)

    def test_valid_data_with_unknown_fields(self) -> None:
        self.assertEqual(self.decode(b'{"name":"a","count":7,"new":[{}]}'), Sample("a", 7))

    def test_odd_data_is_rejected(self) -> None:
        """Guards against errors of other types, which would end the task that decodes."""
        odd = {
            "too large": b'{"name":"' + b"x" * 300_000 + b'"}',
            "too deep": b'{"name":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
            "too deep in an unknown field": b'{"new":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
            "too many digits": b'{"name":"a","count":' + b"9" * 5_000 + b"}",
            "out of range": b'{"name":"a","count":101}',
            "infinite": b'{"name":"a","count":1e999}',
            "no number": b'{"name":"a","count":NaN}',
            "of another type": b'{"name":5}',
            "missing field": b"{}",
            "no object": b"[]",
            "no text": b"\xff\x00",
            "empty": b"",
        }
        for description, data in odd.items():
            with self.subTest(description), self.assertRaises(MalformedDataError):
                self.decode(data)
