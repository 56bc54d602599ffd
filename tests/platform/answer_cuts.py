"""Forms of answers, and the places at which they are cut."""

import enum

import msgspec

MODEL_HEADER = ("Model", "m")
"""Header of requests with a prompt; their instances are engines."""

ID = b"a00000"
"""Stands for the request's id in an answer, and is as long."""

START = b"HTTP/1.1 200 OK\r\nAttempt-Id: " + ID + b"\r\nResponse-Stamp: s\r\n"
BODY = b"body"
BY_LENGTH = START + b"Content-Length: 4\r\n\r\n"
WHOLE = BY_LENGTH + BODY
IN_CHUNKS = START + b"Transfer-Encoding: chunked\r\n\r\n"
BY_CLOSE = START + b"Connection: close\r\n\r\n"
CHUNKS = b"2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\nT: v\r\n\r\n"
FAILED = BY_LENGTH.replace(b"200 OK", b"500 Internal Server Error")
NO_CONTENT = START.replace(b"200 OK", b"204 No Content") + b"\r\n"
EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
STREAM = b"".join(EVENTS)
STREAM_CHUNKS = b"".join(b"f\r\n" + event + b"\r\n" for event in EVENTS) + b"0\r\n\r\n"
SILENT_DEADLINE_MS = 500


class Ending(enum.Enum):
    """What an instance does after the last byte that it sends."""

    CLOSE = "close"
    RESET = "reset"
    SILENCE = "silence"


class Kind(enum.Enum):
    """How the route of a case treats its requests."""

    UNSAFE = "unsafe"
    SAFE = "safe"
    STREAM = "stream"
    RESUMABLE = "resumable"


class Case(msgspec.Struct, frozen=True):
    """One request, and how its answer is cut.

    Attributes:
        name: Form of the answer and place of the cut, for messages.
        answer: Answer of the first instance, with ``ID`` in the place of the request's id.
        cut: Bytes of it that are sent.
        ending: What the instance does then.
        behind: Bytes that it sends between the two.
        status: Status of the answer.
        bodies: Bodies with which the answer is whole.
        must_be_whole: Whether the client must get it with one of them.
        kind: How the route treats the request.
        method: Method of the request.
        second: Answer of the instance that is asked after it; empty for a close.
        deadline_ms: Time that the client gives.
        headers: Further headers of the request.
        version: HTTP version of the client.
        tunnel_cut: Bytes of the tunnel that reach the node once the request has been sent; None
            for all. ``ending`` is then what happens to the tunnel.
        is_kept: Whether the connection has brought a whole answer before.
    """

    name: str
    answer: bytes
    cut: int
    ending: Ending
    behind: bytes = b""
    status: int = 200
    bodies: tuple[bytes, ...] = ()
    must_be_whole: bool = False
    kind: Kind = Kind.UNSAFE
    method: str = "POST"
    second: bytes = b""
    deadline_ms: int = 4_000
    headers: tuple[tuple[str, str], ...] = ()
    version: bytes = b"1.1"
    tunnel_cut: int | None = None
    is_kept: bool = False


def cuts(
    name,
    answer,
    whole,
    endings=tuple(Ending),
    bodies=None,
    places=None,
    *,
    is_certain=True,
    **options,
):
    """Yield a case for a cut after each byte of an answer, and one for the answer without a cut.

    Args:
        name: Form of the answer.
        answer: All of its bytes.
        whole: Body of the whole answer.
        endings: How it is cut.
        bodies: Returns the bodies with which it is whole at a cut; ``whole`` at the end by default.
        places: Where it is cut; None for after each byte.
        is_certain: Whether a whole answer must reach the client unless it ends by a reset.
        options: Fields of the cases.
    """
    for ending in endings:
        for cut in range(len(answer) + 1) if places is None else places:
            if bodies is not None:
                allowed = bodies(cut, ending)
            else:
                allowed = (whole,) if cut == len(answer) else ()
            must_be_whole = is_certain and bool(allowed) and ending is not Ending.RESET
            is_awaited = ending is Ending.SILENCE and not must_be_whole
            deadline = {"deadline_ms": SILENT_DEADLINE_MS} if is_awaited else {}
            yield Case(
                name=f"{name}, {ending.value} after {cut} of {len(answer)} bytes",
                answer=answer,
                cut=cut,
                ending=ending,
                bodies=allowed,
                must_be_whole=must_be_whole,
                **(deadline | options),
            )


def ended_by_close(cut, ending):
    """Return the bodies of an answer that ends with its connection."""
    is_ended = ending is Ending.CLOSE and cut >= len(BY_CLOSE)
    return (BODY[: cut - len(BY_CLOSE)],) if is_ended else ()


def written_by_close(cut, ending):
    """Return the bodies of such an answer to a prompt, which has a byte at least."""
    return ended_by_close(cut, ending) if cut > len(BY_CLOSE) else ()


def stream_ended_by_close(cut, ending):
    """Return the bodies of a stream that ends with its connection: some complete events."""
    sent = STREAM[: max(0, cut - len(BY_CLOSE))]
    return (sent,) if ending is Ending.CLOSE and sent.endswith(b"\n\n") else ()
