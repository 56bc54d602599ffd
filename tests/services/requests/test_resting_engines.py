"""An engine that refuses as overloaded with ``Retry-After`` gets no requests for that time."""

import unittest

import msgspec
import trio

from emulator.engine.faults import EngineFaults, RefusalFault
from hopstep.exceptions import ErrorCode, Execution, ServiceError
from tests.services.requests.request_path import (
    CLASSES,
    RequestPath,
    configuration,
    oracle,
    run,
    tokens_of,
)

BACKOFF_SECONDS = 3.0
MANY = 1_000


class RestingEnginesTest(unittest.TestCase):
    def refuse_with_backoff(self, path, index):
        """Let an engine refuse all requests, each time with a ``Retry-After``."""
        address = path.holder.require().configuration.back_ends[index].address
        refusal = RefusalFault(count=MANY, retry_after_seconds=BACKOFF_SECONDS)
        path.engines.set_faults(address, EngineFaults(refusal=refusal))
        return address

    def recorded_dispatches(self, path):
        """Return a list to which the time and engine of each dispatch are appended."""
        sent = []
        generate = path.engines.generate

        def record(address, request):
            sent.append((trio.current_time(), address))
            return generate(address, request)

        path.engines.generate = record
        return sent

    def test_requests_go_to_the_other_engine_during_the_backoff(self):
        async def main():
            path = RequestPath()
            address = self.refuse_with_backoff(path, 0)
            sent = self.recorded_dispatches(path)
            for _request in range(60):
                request = path.request()
                self.assertEqual(tokens_of(await path.answer(request)), oracle(request))
                await trio.sleep(0.05)
            refused_at = [at for at, where in sent if where == address]
            self.assertTrue(refused_at)
            for earlier, later in zip(refused_at, refused_at[1:], strict=False):
                self.assertGreaterEqual(later, earlier + BACKOFF_SECONDS)

        run(main)

    def test_while_all_engines_back_off_a_request_is_refused_at_once_until_the_earliest_end(self):
        document = configuration()
        quick = msgspec.structs.replace(CLASSES["quick"], max_queue_seconds=1.0)
        document = msgspec.structs.replace(document, classes=(quick,))

        async def main():
            path = RequestPath(document)
            for index in range(2):
                self.refuse_with_backoff(path, index)
            sent = self.recorded_dispatches(path)
            for _attempt in range(2):
                began_at = trio.current_time()
                request = msgspec.structs.replace(path.request(), request_class=quick)
                with self.assertRaises(ServiceError) as caught:
                    await path.answer(request)
            earliest_end = min(at for at, _engine in sent) + BACKOFF_SECONDS
            self.assertEqual(len(sent), 2)
            self.assertEqual(trio.current_time(), began_at)
            error = caught.exception
            self.assertEqual(error.code, ErrorCode.OVERLOADED)
            self.assertEqual(error.execution, Execution.NOT_RUN)
            self.assertAlmostEqual(began_at + error.retry_after_seconds, earliest_end, delta=0.1)

        run(main)
