"""An answer whose tunnel stopped between two nodes never looks whole to a client.

The tunnel's own frames are cut: an answer that ends with its connection is whole only once the
tunnel has told that the instance closed it.
"""

import unittest

from hopstep.adapters.tunnel_codec import CHUNK_HEADER
from tests.platform.answer_cuts import BODY, BY_CLOSE, BY_LENGTH, STREAM, Case, Ending, Kind
from tests.platform.cut_answers_case import CutAnswersCase

SILENT_DEADLINE_MS = 500


def tunnel_cuts(answer, whole, *, has_end=True, **options):
    """Yield a case for a tunnel's cut after each byte that it carries back, and for none.

    Args:
        answer: Bytes of the answer, which are one chunk of the tunnel.
        whole: Its body.
        has_end: Whether the answer shows its end; else the mark of the tunnel's end does.
        options: Fields of the cases.
    """
    length = CHUNK_HEADER.size + len(answer)
    needed = length if has_end else length + CHUNK_HEADER.size
    for ending in Ending:
        for cut in range(length + CHUNK_HEADER.size + 1):
            is_whole = cut >= needed
            must_be_whole = is_whole and ending is not Ending.RESET
            is_awaited = ending is Ending.SILENCE and not must_be_whole
            yield Case(
                name=f"{ending.value} after {cut} of {length} bytes",
                answer=answer,
                cut=len(answer),
                ending=ending,
                bodies=(whole,) if is_whole else (),
                must_be_whole=must_be_whole,
                tunnel_cut=cut,
                deadline_ms=SILENT_DEADLINE_MS if is_awaited else 4_000,
                **options,
            )


class CutGatewaysTest(CutAnswersCase):
    def test_an_answer_with_a_length(self):
        self.play(tunnel_cuts(BY_LENGTH + BODY, BODY), tunnel=True)

    def test_an_answer_that_ends_with_its_connection(self):
        """Guards against a lost gateway that is taken for the end of the answer."""
        self.play(tunnel_cuts(BY_CLOSE + BODY, BODY, has_end=False), tunnel=True)

    def test_a_stream_that_ends_with_its_connection(self):
        answer = BY_CLOSE + STREAM
        self.play(tunnel_cuts(answer, STREAM, has_end=False, kind=Kind.STREAM), tunnel=True)


if __name__ == "__main__":
    unittest.main()
