"""Attempts, prompt tokens and cached tokens are counted."""

import unittest

from emulator.engine.faults import EngineFaults, StreamFault
from hopstep.domain.blocks import count_tokens
from tests.services.requests.request_path import RequestPath, run


class RequestMetricsTest(unittest.TestCase):
    def test_counts_attempts_and_cached_tokens(self):
        async def scenario():
            path = RequestPath()
            request = path.request()
            await path.answer(request)
            await path.answer(request)
            sample = path.registry.get_sample_value
            length = count_tokens(request.prompt)
            self.assertEqual(sample("hopstep_attempts_total", {"kind": "first"}), 2)
            self.assertEqual(sample("hopstep_prompt_tokens_total"), 2 * length)
            cached = sample("hopstep_cached_prompt_tokens_total")
            self.assertGreater(cached, length / 2, "the second answer comes from the cache")
            self.assertLess(cached, length)

        run(scenario)

    def test_counts_resumes(self):
        async def scenario():
            path = RequestPath()
            for back_end in path.holder.require().configuration.back_ends:
                fault = StreamFault(cut_after_tokens=3)
                path.engines.set_faults(back_end.address, EngineFaults(stream=fault))
            await path.answer(path.request())
            sample = path.registry.get_sample_value
            self.assertEqual(sample("hopstep_attempts_total", {"kind": "first"}), 1)
            self.assertEqual(sample("hopstep_attempts_total", {"kind": "resume"}), 1)

        run(scenario)


if __name__ == "__main__":
    unittest.main()
