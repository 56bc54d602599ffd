import unittest

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.prefill_causes import PrefillCause, PrefillCauses
from hopstep.domain.exchanges.request import Prompt, PromptSegment
from hopstep.domain.exchanges.segments import segment_keys
from hopstep.domain.exchanges.selection import Candidate
from hopstep.domain.exchanges.spread_choice import Rating

MODEL = "m"
SEGMENTS = (PromptSegment("a", 4_000), PromptSegment("b", 3_000), PromptSegment("c", 500))
PROMPT = Prompt(MODEL, SEGMENTS, 7_500)


class PrefillCausesTest(unittest.TestCase):
    """Guards against changing homes or caches for a cause that isn't the one."""

    def setUp(self):
        self.causes = PrefillCauses()
        self.views = [InstanceView(Instance(f"e{n}", "llm", f"e:{n}", "z1", 4)) for n in range(2)]

    def send(self, cached, version=1, group="g", isolated=""):
        keys = segment_keys(MODEL, f"{group}.{version}", SEGMENTS)
        candidate = Candidate(self.views[0], keys, Rating(0.0, 0.0), PROMPT.prompt_tokens - cached)
        found = self.causes.note_sent(PROMPT, isolated, group, candidate, self.views)
        return (found.cause, found.tokens) if found is not None else None

    def test_cached_segments_are_not_counted(self):
        self.assertIsNone(self.send(7_000))

    def test_a_segment_that_is_sent_for_the_first_time(self):
        self.assertEqual(self.send(0), (PrefillCause.FIRST, 7_000))

    def test_a_segment_that_another_engine_has(self):
        self.views[1].segments = InstanceView(self.views[1].instance, 100_000).segments
        self.views[1].segments.record(segment_keys(MODEL, "g.1", SEGMENTS))
        self.assertEqual(self.send(4_000), (PrefillCause.ELSEWHERE, 3_000))

    def test_a_segment_that_was_cached_before(self):
        self.send(0)
        self.assertEqual(self.send(4_000), (PrefillCause.EVICTED, 3_000))

    def test_a_segment_that_was_cached_under_other_weights(self):
        self.send(0)
        self.assertEqual(self.send(0, version=2), (PrefillCause.WEIGHTS_CHANGED, 7_000))

    def test_a_segment_that_was_cached_with_a_tenant_that_left(self):
        self.send(0)
        self.assertEqual(self.send(0, group="h"), (PrefillCause.SHARING_CHANGED, 7_000))
        self.assertEqual(self.send(0, group="t", isolated="t"), (PrefillCause.FIRST, 7_000))
