"""The dispatcher over emulated engines: whole answers, in order, under no fault."""

import unittest

from hopstep.domain.inference import AnswerFinish
from tests.services.request_path import RequestPath, oracle, run, tokens_of


class DispatcherTest(unittest.TestCase):
    def test_answer_is_whole_and_in_order_with_usage(self):
        async def scenario():
            path = RequestPath()
            request = path.request()
            parts = await path.answer(request)
            self.assertEqual(tokens_of(parts), oracle(request))
            self.assertEqual(parts[-1].finish, AnswerFinish.LENGTH)
            self.assertEqual(parts[-1].usage.completion_tokens, 20)
            self.assertEqual(path.runs(request), 1)
            self.assertEqual(path.admission.slots.total(), 0)

        run(scenario)


if __name__ == "__main__":
    unittest.main()
