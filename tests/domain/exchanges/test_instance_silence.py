"""When an instance counts as silent, before a first byte and under streams that have begun."""

import unittest

from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import Instance


class InstanceSilenceTest(unittest.TestCase):
    def make_view(self):
        view = InstanceView(Instance("e", "llm", "10.0.0.1:1", "z", 16), 150_000)
        view.begin("r", 0, 1.0)
        view.first_byte("r", 0, 1.1)
        view.note_chunk("r", 1.1)
        return view

    def test_a_stream_without_a_chunk_for_a_second(self):
        """An engine that went silent after its first byte was used until the deadline."""
        view = self.make_view()
        view.expect_chunk("r", 1.1)
        self.assertTrue(view.is_usable(2.0))
        self.assertFalse(view.is_usable(2.2))
        self.assertTrue(view.is_avoided(2.2))
        self.assertFalse(view.leaves_unanswered(2.2))

    def test_pending_prompts_explain_a_longer_pause(self):
        view = self.make_view()
        view.expect_chunk("r", 1.1)
        view.begin("long", 10_000, 1.2)
        self.assertFalse(view.is_unresponsive(3.0))
        self.assertTrue(view.is_unresponsive(3.3))

    def test_a_byte_of_any_request_shows_that_it_responds(self):
        view = self.make_view()
        view.expect_chunk("r", 1.1)
        view.note_received_byte(2.0)
        self.assertFalse(view.is_unresponsive(2.9))

    def test_a_client_that_reads_slowly_is_not_the_instances_silence(self):
        view = self.make_view()
        self.assertFalse(view.is_unresponsive(30.0))
        view.expect_chunk("r", 30.0)
        self.assertFalse(view.is_unresponsive(30.9))

    def test_loading_weights_pauses_streams(self):
        view = self.make_view()
        view.expect_chunk("r", 1.1)
        view.loading_until = 2.5
        self.assertFalse(view.is_unresponsive(3.4))
        self.assertTrue(view.is_unresponsive(3.6))

    def test_a_stream_that_has_ended_waits_for_nothing(self):
        view = self.make_view()
        view.expect_chunk("r", 1.1)
        view.end("r", 0)
        self.assertFalse(view.is_unresponsive(9.0))

    def test_a_pause_of_this_node_is_not_the_instances(self):
        view = self.make_view()
        view.expect_chunk("r", 1.1)
        view.discount_pause(5.0)
        self.assertFalse(view.is_unresponsive(6.5))
