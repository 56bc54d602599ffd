import unittest
from unittest import mock

import msgspec

from emulator.virtual_time import run_in_virtual_time
from hopstep.domain.exchanges.instance_view import InstanceView
from hopstep.domain.exchanges.instances import Instance
from hopstep.domain.exchanges.request import ExchangeRequest, Prompt
from hopstep.domain.exchanges.segment_moves import NO_PREFERENCE
from hopstep.domain.exchanges.selection import Candidate
from hopstep.domain.exchanges.serving import RequestKind, ServingIndex
from hopstep.domain.exchanges.spread_choice import Rating
from hopstep.services.exchanges.requests.choice.engine_requests import EngineRequests
from hopstep.services.exchanges.requests.choice.engine_separation import EngineSeparation
from tests.services.exchanges.exchange_world import MODEL, configuration, route

VIEWS = [InstanceView(Instance(f"e{n}", "llm", f"e:{n}", "z1", 16)) for n in range(6)]


def request(name, objective, tokens):
    path = route(name, RequestKind.STREAM, objective_seconds=objective)
    prompt = Prompt(MODEL, prompt_tokens=tokens)
    return ExchangeRequest(name, b"POST", b"/", (), b"", path, None, 0.0, 0.0, 9.0, 9.0, prompt)


SHORT, LONG = request("short", 0.4, 400), request("long", 0.9, 17_000)


def send(separation, sent, now):
    candidate = Candidate(VIEWS[0], (), Rating(0.0, 0.0), sent.prompt.prompt_tokens)
    separation.note_sent(sent, candidate, now)


class EngineSeparationTest(unittest.TestCase):
    def test_engines_are_kept_while_long_prompts_are_sent(self):
        """Guards against engines that stay reserved after the last long prompt."""
        separation = EngineSeparation()
        self.assertIs(separation.preference(LONG, "llm", VIEWS, 0.0), NO_PREFERENCE)
        for now in (1.0, 2.0, 3.0):
            send(separation, SHORT, now)
            send(separation, LONG, now)
        kept = separation.preference(LONG, "llm", VIEWS, 4.0)
        self.assertEqual((len(kept.kept_engines), separation.kept_engines), (1, 1))
        send(separation, SHORT, 20.0)
        self.assertIs(separation.preference(LONG, "llm", VIEWS, 20.0), NO_PREFERENCE)

    def test_other_services_keep_their_engines(self):
        separation = EngineSeparation()
        send(separation, SHORT, 1.0)
        send(separation, LONG, 1.0)
        self.assertIs(separation.preference(LONG, "other", VIEWS, 2.0), NO_PREFERENCE)


class EngineRequestsTest(unittest.TestCase):
    def test_the_expected_length_of_the_answer_counts_when_it_is_stated(self):
        """Guards against engines that seem full since longest answers are counted."""
        knowledge = mock.Mock()
        knowledge.require_index.return_value = ServingIndex(configuration())
        knowledge.table.of_service.return_value = VIEWS
        requests = EngineRequests(knowledge, mock.Mock(), "z1", 0.0, mock.Mock())
        for expected, answer_tokens in ((9, 9), (0, 900)):
            prompt = Prompt(MODEL, (), 400, 900, expected)
            asked = msgspec.structs.replace(SHORT, prompt=prompt)

            async def build(asked=asked):
                return requests.build(asked, asked.prompt, "llm")

            built = run_in_virtual_time(build)
            self.assertEqual(built.answer_tokens, answer_tokens)
