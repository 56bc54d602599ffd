"""The proxy of answers: copies, stops and bytes without end come as they are drawn."""

import math
import random
import unittest
from unittest import mock

import trio

from emulator.fleet.ports import free_addresses
from emulator.soak.answer_faults import (
    AnswerFaults,
    CopyTime,
    EndlessForm,
    HeadDelivery,
    StopKind,
)
from emulator.soak.answer_proxy import FaultyAnswerProxy
from emulator.soak.endless_answers import MAX_ENDLESS

ANSWER = b"HTTP/1.1 500 X\r\nAttempt-Id: a\r\nResponse-Stamp: s\r\nContent-Length: 4\r\n\r\nbody"
CHUNKED = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
LEAVING = b"HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
WAIT_SECONDS = 0.15
ENDLESS_WAIT_SECONDS = 5.0
SETTLE_SECONDS = 0.1

DRAWN = {
    "endless": [
        (["answer", "endless informational responses"], 0.040484),
        (["endless surplus"], 0.802265),
        (["answer", "answer"], 0.056551),
        (["endless body"], 0.130423),
        (["endless garbage"], 0.138155),
        (["endless chunks"], 0.358536),
        (["endless surplus"], 0.08057),
        (["endless header line"], 0.394823),
    ],
    "repeated": [
        (["answer", "answer"], 0.040484),
        (["answer", "answer"], 0.472245),
        (["answer", "answer"], 0.056551),
        (["answer", "cut copy", "answer"], 0.62572),
        (["answer", "answer"], 0.401591),
        (["answer", "cut copy", "answer"], 0.775959),
        (["answer", "answer", "copy at once"], 0.145578),
        (["answer", "answer"], 0.365689),
        (["answer", "copy at the next request", "answer", "copy at once"], 0.085185),
        (["answer", "cut copy", "answer", "copy at once"], 0.338326),
        (["answer", "copy at the next request", "answer", "copy at once"], 0.206098),
        (["answer", "cut copy", "answer"], 0.18466),
        (["answer", "cut copy", "answer", "copy at once"], 0.996622),
        (["answer", "answer"], 0.640957),
        (["answer", "cut copy", "answer"], 0.734059),
        (["answer", "answer", "copy at once"], 0.158013),
        (["answer", "copy at the next request", "answer"], 0.446759),
        (["answer", "second half of a copy", "answer"], 0.110162),
        (["answer", "copy at the next request", "answer"], 0.951913),
        (["answer", "cut copy", "answer"], 0.347169),
        (["answer", "answer"], 0.635726),
        (["answer", "copy at the next request", "answer"], 0.843279),
        (["answer", "answer", "copy at once"], 0.613087),
        (["answer", "answer"], 0.892433),
    ],
    "stopped": [
        (["answer", "answer"], 0.965465),
        (["stopped, silence"], 0.760962),
        (["answer", "answer"], 0.056551),
        (["answer", "answer"], 0.474054),
        (["answer", "stopped, again"], 0.549402),
        (["answer", "answer"], 0.648975),
        (["answer", "answer"], 0.662819),
        (["stopped, close"], 0.821274),
        (["stopped, reset"], 0.704817),
        (["answer", "answer"], 0.502782),
        (["answer", "answer"], 0.823589),
        (["answer", "answer"], 0.18466),
    ],
    "unframed": [
        (["answer", "unframed"], 0.258917),
        (["unframed"], 0.763775),
        (["answer", "answer"], 0.056551),
        (["unframed"], 0.369955),
        (["unframed, reset"], 0.0901),
        (["unframed"], 0.795194),
    ],
}
"""Events and the generator's next number by seed, from 0 on, recorded at 83d8397."""


async def serve_answers(stream):
    """Answer each piece of input."""
    async for _data in stream:
        await stream.send_all(ANSWER)


class Chooser(random.Random):
    """Draws one fixed choice, and everything else by its seed."""

    def __init__(self, chosen, seed):
        super().__init__(seed)
        self.chosen = chosen

    def choice(self, options):
        return self.chosen if self.chosen in options else super().choice(options)


class AnswerFaultsTest(unittest.TestCase):
    seed = 1

    def run_proxy(self, script, chosen=None, answer=ANSWER, **faults):
        """Run ``script(stream, events)`` with an instance that answers each piece of input."""

        async def serve(stream):
            async for _data in stream:
                await stream.send_all(answer)

        async def main():
            events = []
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, serve, 0)
                target = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
                proxy = FaultyAnswerProxy(target, Chooser(chosen, self.seed), events.append)
                proxy.faults = AnswerFaults(**faults)
                address = free_addresses(1)[0]
                await nursery.start(proxy.run, address)
                port = int(address.rpartition(":")[2])
                async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                    await script(stream, events)
                proxy.close()
                nursery.cancel_scope.cancel()

        trio.run(main)

    async def count(self, stream, enough):
        """Return the number of bytes that have arrived once there are enough, or after a time."""
        received = 0
        with trio.move_on_after(ENDLESS_WAIT_SECONDS):
            while received <= enough:
                received += len(await stream.receive_some())
        return received

    async def received(self, stream, seconds=WAIT_SECONDS):
        """Return the bytes that arrive within a time."""
        data = b""
        with trio.move_on_after(seconds):
            async for piece in stream:
                data += piece
        return data

    def test_answers_pass_unchanged_without_faults(self):
        for answer in (ANSWER, CHUNKED):

            async def script(stream, events, answer=answer):
                for _ in range(2):
                    await stream.send_all(b"request")
                    self.assertEqual(await self.received(stream), answer)
                self.assertEqual([event.what for event in events], ["answer", "answer"])

            self.run_proxy(script, answer=answer)

    def test_an_event_names_status_id_and_signature(self):
        async def script(stream, events):
            await stream.send_all(b"request")
            await self.received(stream)
            event = events[0]
            self.assertEqual((event.status, event.attempt_id, event.stamp), (500, "a", "s"))

        self.run_proxy(script)

    # A refusal may have no id of its own, and still brings its node a notice.
    def test_an_event_names_the_request_that_was_answered(self):
        found = []

        async def script(stream, events):
            named = b"GET / HTTP/1.1\r\nattempt-id: b7\r\n"
            for data in (b"request", named + b"\r\n", b"more", named + b"X-Try: 2\r\n\r\n"):
                await stream.send_all(data)
                await self.received(stream)
            found.extend(event.asked for event in events)

        self.run_proxy(script)
        self.assertEqual(found, ["", "b7", "b7", "b7#2"])

    def heads(self, chosen=None, requests=2, **faults):
        """Return what the caller got of the answers to some requests."""
        found = []

        async def script(stream, events):
            for _ in range(requests):
                await stream.send_all(b"request")
                await self.received(stream)
            found.extend(event.head for event in events)

        self.run_proxy(script, chosen, **faults)
        return found

    def test_the_head_of_an_answer_behind_a_part_of_another_is_not_whole(self):
        whole, cut, copy = HeadDelivery.WHOLE, HeadDelivery.CUT, HeadDelivery.COPY
        self.assertEqual(self.heads(), [whole, whole])
        self.assertEqual(self.heads(CopyTime.CUT, repeated=1.0), [whole, copy, cut])
        self.assertEqual(self.heads(CopyTime.NEXT, repeated=1.0), [whole, copy, whole])
        self.assertEqual(self.heads(CopyTime.SPLIT, repeated=1.0), [whole, copy, whole])
        self.assertEqual(self.heads(CopyTime.AT_ONCE, repeated=1.0), [whole, copy, whole, copy])

    def test_an_answer_behind_the_copy_of_one_without_an_id_may_not_be_read(self):
        whole, cut, copy = HeadDelivery.WHOLE, HeadDelivery.CUT, HeadDelivery.COPY
        answer = ANSWER.replace(b"Attempt-Id: a\r\n", b"")
        found = self.heads(CopyTime.NEXT, answer=answer, repeated=1.0)
        self.assertEqual(found, [whole, copy, cut])

    def test_the_head_of_an_answer_that_stops_in_it_is_not_whole(self):
        position = "emulator.soak.answer_stops.AnswerStop.position"
        head_bytes = ANSWER.index(b"\r\n\r\n") + 4
        for byte, head in ((head_bytes - 1, HeadDelivery.CUT), (head_bytes, HeadDelivery.WHOLE)):
            with mock.patch(position, return_value=byte):
                self.assertEqual(self.heads(StopKind.AGAIN, 1, stopped=1.0), [head])

    def test_the_head_of_an_answer_without_end_is_whole_if_it_ends(self):
        whole = {EndlessForm.BODY, EndlessForm.CHUNKS, EndlessForm.SURPLUS}
        for form in EndlessForm:
            head = HeadDelivery.WHOLE if form in whole else HeadDelivery.CUT
            self.assertEqual(self.heads(form, 1, endless=1.0), [head])

    def test_a_copy_comes_with_the_answer_or_late(self):
        for time in (CopyTime.AT_ONCE, CopyTime.SOON, CopyTime.LATE):
            for answer in (ANSWER, CHUNKED):

                async def script(stream, _events, answer=answer):
                    await stream.send_all(b"request")
                    self.assertEqual(await self.received(stream, 2.2), answer * 2)

                self.run_proxy(script, time, answer, repeated=1.0)

    def test_a_copy_stands_in_the_place_of_the_next_answer(self):
        async def script(stream, _events):
            await stream.send_all(b"request")
            self.assertEqual(await self.received(stream), ANSWER)
            await stream.send_all(b"request")
            self.assertEqual(await self.received(stream), ANSWER * 2)

        self.run_proxy(script, CopyTime.NEXT, repeated=1.0)

    def test_half_a_copy_comes_at_once_and_the_other_half_later(self):
        async def script(stream, _events):
            await stream.send_all(b"request")
            first = await self.received(stream)
            self.assertTrue(len(ANSWER) < len(first) < 2 * len(ANSWER))
            await stream.send_all(b"request")
            second = await self.received(stream)
            self.assertTrue((first + second).startswith(ANSWER * 3))

        self.run_proxy(script, CopyTime.SPLIT, repeated=1.0)

    def test_a_copy_that_stops_in_its_head_is_followed_by_the_next_answer(self):
        async def script(stream, events):
            await stream.send_all(b"request")
            self.assertEqual(await self.received(stream), ANSWER)
            await stream.send_all(b"request")
            cut, _, rest = (await self.received(stream)).rpartition(ANSWER)
            self.assertTrue(cut and ANSWER.startswith(cut) and b"\r\n\r\n" not in cut)
            self.assertEqual(rest, b"")
            self.assertEqual([event.what for event in events], ["answer", "cut copy", "answer"])

        self.run_proxy(script, CopyTime.CUT, repeated=1.0)

    def test_an_answer_that_closes_its_connection_is_not_repeated(self):
        async def script(stream, _events):
            await stream.send_all(b"request")
            self.assertEqual(await self.received(stream), LEAVING)

        self.run_proxy(script, CopyTime.AT_ONCE, LEAVING, repeated=1.0)

    def test_an_answer_stops_before_its_end(self):
        long = ANSWER.replace(b"body", b"x" * 500).replace(b"Length: 4", b"Length: 500")
        for kind in (StopKind.CLOSE, StopKind.RESET, StopKind.SILENCE):

            async def script(stream, events, kind=kind):
                await stream.send_all(b"request")
                data, is_reset = b"", False
                try:
                    async for piece in stream:
                        data += piece
                except trio.BrokenResourceError:
                    is_reset = True
                self.assertTrue(len(data) < len(long) and long.startswith(data))
                self.assertEqual(is_reset, kind is StopKind.RESET)
                self.assertEqual([event.what for event in events], [f"stopped, {kind}"])

            self.run_proxy(script, kind, long, stopped=1.0)

    def test_an_answer_that_stopped_begins_again(self):
        async def script(stream, _events):
            await stream.send_all(b"request")
            begun, _, rest = (await self.received(stream)).rpartition(ANSWER)
            self.assertTrue(begun and ANSWER.startswith(begun) and not rest)

        with mock.patch("emulator.soak.answer_stops.STOP_BYTES", len(ANSWER)):
            self.run_proxy(script, StopKind.AGAIN, stopped=1.0)

    def test_bytes_come_until_the_caller_closes(self):
        for form in EndlessForm:

            async def script(stream, events, form=form):
                await stream.send_all(b"request")
                self.assertGreater(await self.count(stream, 50_000), 50_000)
                self.assertEqual(events[0].what, f"endless {form}")

            self.run_proxy(script, form, endless=1.0)

    def test_an_answer_without_a_length_ends_with_its_connection_or_is_reset(self):
        whole = (
            b"HTTP/1.1 500 X\r\nAttempt-Id: a\r\nResponse-Stamp: s\r\nConnection: close\r\n\r\nbody"
        )
        ends = set()

        async def script(stream, events):
            await stream.send_all(b"request")
            data, is_reset = b"", False
            try:
                async for piece in stream:
                    data += piece
            except trio.BrokenResourceError:
                is_reset = True
            self.assertTrue(whole.startswith(data) if is_reset else data == whole)
            self.assertEqual(events[0].what, "unframed, reset" if is_reset else "unframed")
            ends.add(is_reset)

        for seed in range(8):
            self.seed = seed
            self.run_proxy(script, unframed=1.0)
        self.assertEqual(ends, {True, False})

    def test_an_answer_in_chunks_keeps_them(self):
        async def script(stream, _events):
            await stream.send_all(b"request")
            self.assertEqual(await self.received(stream), CHUNKED)

        self.run_proxy(script, answer=CHUNKED, unframed=1.0)

    # Equal seeds have to draw equal faults, or a seed that has shown a fault shows it no more.
    def test_a_seed_draws_the_faults_that_it_always_drew(self):
        for fault, expected in DRAWN.items():
            with self.subTest(fault):
                self.assertEqual(trio.run(self.drawn, fault, len(expected)), expected)

    async def drawn(self, fault, seeds):
        """Return the events of two requests by seed, and the next number of each generator."""
        found = {}

        async def draw(seed):
            found[seed] = await self.draw_two(fault, seed)

        async with trio.open_nursery() as nursery:
            for seed in range(seeds):
                nursery.start_soon(draw, seed)
        return [found[seed] for seed in range(seeds)]

    async def outcome(self, events):
        """Return what became of the next answer; copies of earlier ones are skipped."""
        with trio.fail_after(ENDLESS_WAIT_SECONDS):
            async for event in events:
                if "cop" not in event.what:
                    break
        await trio.sleep(SETTLE_SECONDS)
        return event.what

    async def draw_two(self, fault, seed):
        """Return the events of two requests over one connection, and the generator's next number.

        Late copies are left out, as their time tells whether they come before the end.
        """
        generator, events = random.Random(seed), []
        sender, receiver = trio.open_memory_channel(math.inf)

        def record(event):
            events.append(event)
            sender.send_nowait(event)

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, serve_answers, 0)
            target = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            proxy = FaultyAnswerProxy(target, generator, record)
            proxy.faults = AnswerFaults(**{fault: 0.8})
            proxy.begin_endless = proxy.end_endless = lambda: True
            address = free_addresses(1)[0]
            await nursery.start(proxy.run, address)
            port = int(address.rpartition(":")[2])
            async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
                for _ in range(2):
                    await stream.send_all(b"request")
                    if await self.outcome(receiver) != "answer":
                        break
            proxy.close()
            nursery.cancel_scope.cancel()
        names = [event.what for event in events if not event.what.endswith("late")]
        return names, round(generator.random(), 6)

    def test_few_answers_at_a_time_have_no_end(self):
        proxies = [FaultyAnswerProxy("", random.Random(1)) for _ in range(MAX_ENDLESS + 1)]
        begun = [proxy for proxy in proxies if proxy.begin_endless()]
        self.assertEqual(len(begun), MAX_ENDLESS)
        for proxy in begun:
            proxy.end_endless()
