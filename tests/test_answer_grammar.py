"""Bytes that are no answer by RFC 9112 are refused by all readers of answers."""

import unittest

import h11
from hypothesis import given
from hypothesis import strategies as st

from hopstep.answer_grammar import AnswerFault, head_fault, is_chunk_line, trailers_fault
from hopstep.bounded_protocol import BoundedProtocol

MAX_HEAD_BYTES = 64 * 1024
SOUND_HEADS = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
    b"HTTP/1.1 204 No Content\r\nA: \r\n\r\n",
    b"HTTP/1.0 599 \r\n\r\n",
    b"HTTP/1.1 503 Schl\xe4ft\tfest\r\nRetry-After:1\r\nX:\t a \x80 b \t\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n!#$%&'*+-.^_`|~9: v\r\n\r\n",
)
STATUS, FIELD, LINE_END = AnswerFault.STATUS_LINE, AnswerFault.FIELD_LINE, AnswerFault.LINE_END
LENGTH, CODING = AnswerFault.LENGTH, AnswerFault.CODING
BAD_HEADS = (
    (b"HTTP/1.1 000 OK\r\n\r\n", STATUS),
    (b"HTTP/1.1 099 OK\r\n\r\n", STATUS),
    (b"HTTP/1.1 600 OK\r\n\r\n", STATUS),
    (b"HTTP/1.1 999 OK\r\n\r\n", STATUS),
    (b"HTTP/1.1 20 OK\r\n\r\n", STATUS),
    (b"HTTP/1.1 2000 OK\r\n\r\n", STATUS),
    (b"HTTP/1.1  200 OK\r\n\r\n", STATUS),
    (b"HTTP/9.9 200 OK\r\n\r\n", STATUS),
    (b"HTTP/2.0 200 OK\r\n\r\n", STATUS),
    (b"http/1.1 200 OK\r\n\r\n", STATUS),
    (b"HTTP/1.1 200 O\x01K\r\n\r\n", STATUS),
    (b"HTTP/1.1 200 O\x7fK\r\n\r\n", STATUS),
    (b"HTTP/1.1 200 OK\r\nA B: v\r\n\r\n", FIELD),
    (b"HTTP/1.1 200 OK\r\nA : v\r\n\r\n", FIELD),
    (b"HTTP/1.1 200 OK\r\nA\x01: v\r\n\r\n", FIELD),
    (b"HTTP/1.1 200 OK\r\nA\xe4: v\r\n\r\n", FIELD),
    (b"HTTP/1.1 200 OK\r\n: v\r\n\r\n", FIELD),
    (b"HTTP/1.1 200 OK\r\nA\r\n\r\n", FIELD),
    (b"HTTP/1.1 200 OK\r\nA: v\x01\r\n\r\n", FIELD),
    (b"HTTP/1.1 200 OK\r\nA: v\rw\r\n\r\n", FIELD),
    (b"HTTP/1.1 200 OK\r\nA: v\r\n w\r\n\r\n", AnswerFault.FOLDED_LINE),
    (b"HTTP/1.1 200 OK\r\nA: v\nB: w\r\n\r\n", LINE_END),
    (b"HTTP/1.1 200 OK\r\nA: v\n\n", LINE_END),
    (b"HTTP/1.1 200 OK\r\nA: v\n\r\n", LINE_END),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\n", LENGTH),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\n", LENGTH),
    (b"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\n", LENGTH),
    (b"HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\n", LENGTH),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 1234567890123456789\r\n\r\n", LENGTH),
    (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", CODING),
    (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        CODING,
    ),
    (b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", CODING),
)
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SOUND_BODIES = (
    b"2\r\nab\r\n0\r\n\r\n",
    b'2;x;y=z;w="a \\" b"\r\nab\r\n0\r\nT: v\r\n\r\n',
    b"00a; x = y\r\n0123456789\r\n0\r\nT: v\r\nU:\r\n\r\n",
)
BAD_BODIES = (
    b"2;\x01\r\nab\r\n0\r\n\r\n",
    b"2 \r\nab\r\n0\r\n\r\n",
    b"0x2\r\nab\r\n0\r\n\r\n",
    b"+2\r\nab\r\n0\r\n\r\n",
    b'2;x="a\r\nab\r\n0\r\n\r\n',
    b"2\r\nab\r\n2;\x01\r\nab\r\n0\r\n\r\n",
    b"2\r\nab\r\n0\r\nT : v\r\n\r\n",
    b"2\r\nab\r\n0\r\nT: \x01\r\n\r\n",
    b"2\r\nab\r\n0\r\nT: v\n\n",
    b"2\r\nab\r\n0\r\nT: v\r\n w\r\n\r\n",
)


def read(answer, step):
    """Return the body of an answer that arrives in parts; raises if it is none."""
    protocol = BoundedProtocol(MAX_HEAD_BYTES)
    protocol.send(h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"h")]))
    protocol.send(h11.EndOfMessage())
    body = b""
    for first in range(0, len(answer), step):
        protocol.receive_data(answer[first : first + step])
        while (event := protocol.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.EndOfMessage):
                return body
            body += bytes(event.data) if isinstance(event, h11.Data) else b""
    return None


class HeadsTest(unittest.TestCase):
    def test_sound_heads_are_answers(self):
        # A reader that refuses sound answers would take whole services away.
        for head in SOUND_HEADS:
            with self.subTest(head=head):
                self.assertIsNone(head_fault(head))

    def test_heads_that_are_none_are_refused_with_their_fault(self):
        # The library took most of them, and a client got them as answers.
        for head, fault in BAD_HEADS:
            with self.subTest(head=head):
                self.assertIs(head_fault(head), fault)
                with self.assertRaises(h11.RemoteProtocolError) as caught:
                    read(head, len(head))
                self.assertIn(fault.value, str(caught.exception))

    @given(st.sampled_from(SOUND_HEADS), st.data())
    def test_a_head_with_one_other_byte_is_refused_unless_it_is_in_the_grammar(self, head, data):
        # One byte of a server in trouble made a field's name, a status or an end of another kind.
        position = data.draw(st.integers(0, len(head) - 1))
        byte = data.draw(st.integers(0, 255))
        changed = head[:position] + bytes((byte,)) + head[position + 1 :]
        if head_fault(changed) is not None:
            with self.assertRaises(h11.RemoteProtocolError):
                if read(changed, len(changed)) is None:
                    raise h11.RemoteProtocolError("more is waited for")

    def test_control_bytes_are_refused_at_each_position_of_a_head(self):
        # The library takes them within reasons and values, and a client got them.
        head = b"HTTP/1.1 200 OK\r\nName: value\r\n\r\n"
        controls = [byte for byte in (*range(32), 127) if byte not in b"\t\r\n"]
        for position in range(len(head)):
            for byte in controls:
                changed = head[:position] + bytes((byte,)) + head[position + 1 :]
                with self.subTest(position=position, byte=byte):
                    self.assertIsNotNone(head_fault(changed))


class BodiesTest(unittest.TestCase):
    def test_sound_chunks_are_read_however_they_arrive(self):
        for body in SOUND_BODIES:
            for step in (1, 3, 1_000):
                with self.subTest(body=body, step=step):
                    self.assertIn(read(CHUNKED_HEAD + body, step), (b"ab", b"0123456789"))

    def test_chunks_and_trailers_that_are_none_are_refused_however_they_arrive(self):
        # The library took any bytes behind a chunk's size, and lines of trailers as of heads.
        for body in BAD_BODIES:
            for step in (1, 3, 1_000):
                with self.subTest(body=body, step=step), self.assertRaises(h11.RemoteProtocolError):
                    read(CHUNKED_HEAD + body, step)

    def test_lines_alone(self):
        self.assertTrue(is_chunk_line(b"1f;a=b"))
        self.assertFalse(is_chunk_line(b""))
        self.assertIsNone(trailers_fault(b"\r\n"))
        self.assertIs(trailers_fault(b"A: b\n\n"), LINE_END)
