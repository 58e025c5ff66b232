"""The end of a chunked body, whatever the pieces in which it arrives."""

import unittest

from damasktide.http1.chunked_body import ChunkedBodyScanner

NEXT = b"GET / HTTP/1.1\r\n"
BODIES = (
    b"0\r\n\r\n",
    b'3\r\nabc\r\nA;ext="x"\r\n0\r\n\r\n\r\nxyz\r\n0\r\n\r\n',
    b"01\r\n\n\r\n000\r\nTrailer: 1\r\nOther: %s\r\n\r\n" % (b"y" * 100),
)


class TestChunkedBodyScanner(unittest.TestCase):
    def test_end_in_every_division(self) -> None:
        """Guards against a next request that is taken for a part of the body, or the reverse."""
        for body in BODIES:
            for size in range(1, len(body + NEXT)):
                with self.subTest(body=body, size=size):
                    scanner = ChunkedBodyScanner()
                    data = body + NEXT
                    found = sum(
                        scanner.scan(data[start : start + size])
                        for start in range(0, len(data), size)
                    )
                    self.assertEqual(found, len(body))
                    self.assertTrue(scanner.has_ended)

    def test_invalid_size_is_left_to_the_parser(self) -> None:
        scanner = ChunkedBodyScanner()
        self.assertEqual(scanner.scan(b"xyz\r\n\r\n"), 7)
        self.assertFalse(scanner.has_ended)
