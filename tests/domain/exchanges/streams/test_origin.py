"""Which instances may go on with a stream."""

import unittest

import msgspec

from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.streams.origin import StreamOrigin

BEGAN = Instance("i1", "llm", "10.0.0.1:80", "z", 4, born_ms=5, software_version="v1")


def changed(**fields):
    return msgspec.structs.replace(BEGAN, **fields)


class StreamOriginTest(unittest.TestCase):
    def test_only_known_equal_versions_and_the_same_process_go_on(self):
        # An instance that came back under its id with newer software went on with old streams.
        unknown = changed(software_version="")
        cases = (
            (BEGAN, changed(instance_id="i2", born_ms=9), True),
            (BEGAN, changed(instance_id="i2", software_version="v2"), False),
            (BEGAN, changed(born_ms=9, software_version="v2"), False),
            (BEGAN, changed(service="other"), False),
            (BEGAN, unknown, True),
            (BEGAN, changed(born_ms=9, software_version=""), False),
            (unknown, BEGAN, True),
            (unknown, changed(instance_id="i2"), False),
            (unknown, changed(instance_id="i2", software_version=""), False),
            (changed(born_ms=0, software_version=""), changed(born_ms=0), False),
        )
        for began, goes_on, allowed in cases:
            with self.subTest(began=began, goes_on=goes_on):
                self.assertEqual(StreamOrigin.of(began).allows(goes_on), allowed)
