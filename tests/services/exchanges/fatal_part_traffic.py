"""Traffic in which one part of a prompt crashes each engine that begins to write on it."""

import itertools
import unittest

import trio

from hopstep.domain.exchanges.request import PromptSegment
from hopstep.exceptions import ErrorCode
from hopstep.ports.serving_directory import InstanceRemoved
from tests.services.exchanges.exchange_world import ExchangeWorld

FATAL_PART = "fa7a1"
ENGINES = 9
FIRST_PARTS = 4
SECOND_PARTS = 12
SOUND_SECONDS = 1 / 30
"""Time between two sound requests."""

FATAL_SECONDS = 0.25
"""Time between two requests with the fatal part."""

EXPIRY_SECONDS = 2.6
RESTART_SECONDS = 3.3
"""Seconds from an engine's crash to the expiry of its entry, and to the start of the next."""

CALM_SECONDS = 4.0
"""Seconds of sound requests before the first fatal one, to compare with."""

FATAL_TRAFFIC_SECONDS = 16.0
COUNTED_CRASHES = 5
BOUND_SECONDS = 3.0
MAX_LATE_ARRIVALS = 3
"""Requests with the part that may arrive later than the bound after the fifth crash."""

REFUSALS = frozenset({"request_quarantined", "prompt_part_quarantined"})


class FatalPartCase(unittest.TestCase):
    def run_traffic(
        self,
        script=None,
        nodes=3,
        zones=1,
        fatal_seconds=FATAL_SECONDS,
        segments_of=None,
        repeats=1,
    ):
        """Run sound and, after some seconds, fatal requests; return the world.

        Args:
            script: Runs beside the fatal requests.
            nodes: Number of nodes.
            zones: Number of zones of nodes.
            fatal_seconds: Time between two requests with the fatal part.
            segments_of: Returns the shared parts of such a request by its number.
            repeats: Number of equal requests that are sent one after the other.
        """
        world = ExchangeWorld(nodes, zones=zones)
        world.sound_answers = []
        world.fatal_answers = []
        world.segments_of = segments_of or fatal_segments
        world.repeats = repeats
        for number in range(ENGINES):
            world.add(f"e{number}", "llm")
        world.instances.fatal_parts.add(FATAL_PART)
        world.instances.fatal_seconds = 0.04
        world.instances.on_ended = lambda server: world.nursery.start_soon(
            replace_engine, world, server
        )

        async def run(world):
            world.nursery.start_soon(self.send_sound, world)
            await trio.sleep(CALM_SECONDS)
            world.fatal_from = trio.current_time()
            world.nursery.start_soon(self.send_fatal, world, fatal_seconds)
            if script is not None:
                world.nursery.start_soon(script, world)
            await trio.sleep(FATAL_TRAFFIC_SECONDS)
            world.ended_at = trio.current_time()

        world.run(run)
        return world

    def check_bounds(self, part=FATAL_PART, **options):
        """Run traffic, and check the operators' bound on late arrivals; return the world."""
        world = self.run_traffic(**options)
        self.assertLessEqual(len(self.late_arrivals(world, part)), MAX_LATE_ARRIVALS)
        return world

    async def send_sound(self, world):
        """Send sound requests, each with parts that many others have."""
        for number in itertools.count():
            segments = (*shared_parts(number), PromptSegment(f"50{number:x}", 100))
            world.nursery.start_soon(
                self.send, world, number, "stream", segments, world.sound_answers
            )
            await trio.sleep(SOUND_SECONDS)

    async def send_fatal(self, world, seconds):
        """Send requests with the fatal part beside the parts of sound ones, no two alike."""
        for number in itertools.count():
            own = PromptSegment(f"f0{number // world.repeats:x}", 100)
            segments = (*world.segments_of(number // world.repeats), own)
            world.nursery.start_soon(
                self.send, world, number + 1, "stream", segments, world.fatal_answers
            )
            await trio.sleep(seconds)

    async def send(self, world, number, name, segments, answers):
        """Send one request to a node that runs; keep when it was sent, and the answer."""
        if not world.nodes:
            return
        sent_at = trio.current_time()
        node = number % len(world.nodes)
        body = segments[-1].segment_id.encode()
        answer = await world.request(name, node, segments=segments, body=body)
        answers.append((sent_at, answer))

    def crashes(self, world):
        """Return when engines crashed, in order."""
        ended = (server.ended_at for server in world.instances.all_servers)
        return sorted(at for at in ended if at is not None)

    def late_arrivals(self, world, part=FATAL_PART):
        """Return when requests with a part reached engines too late after its fifth crash."""
        fatal = {
            call.request.request_id
            for call in world.instances.calls
            if part in {segment.segment_id for segment in call.request.prompt.segments}
        }
        crashes = sorted(
            server.ended_at
            for server in world.instances.all_servers
            if server.ended_at is not None
            and fatal.intersection(run.request_id for run in server.runs)
        )
        if len(crashes) < COUNTED_CRASHES:
            return []
        since = crashes[COUNTED_CRASHES - 1] + BOUND_SECONDS
        runs = (run for server in world.instances.all_servers for run in server.runs)
        return sorted(run.at for run in runs if run.request_id in fatal and run.at > since)

    def begun_share(self, world, since, until):
        """Return the share of sound requests sent in an interval that began."""
        sent = [answer for at, answer in world.sound_answers if since <= at < until]
        return sum(answer.started_at is not None for answer in sent) / len(sent)

    def refused_sound(self, world):
        """Return the sound requests that were refused for a part, or as a whole."""
        return [answer for _at, answer in world.sound_answers if is_quarantined(answer)]


async def replace_engine(world, server):
    """Let a crashed engine's entry expire, and start another one."""
    ended_id = server.instance.instance_id
    await trio.sleep(EXPIRY_SECONDS)
    world.publish(InstanceRemoved(ended_id))
    await trio.sleep(RESTART_SECONDS - EXPIRY_SECONDS)
    world.add(f"{ended_id}+", "llm")


def shared_parts(number):
    """Return two parts that many requests have."""
    first = PromptSegment(f"a{number % FIRST_PARTS:x}", 1_000)
    second = PromptSegment(f"b{number % SECOND_PARTS:x}", 500)
    return first, second


def fatal_segments(number):
    """Return the shared parts of a request with the fatal part."""
    return (*shared_parts(number), PromptSegment(FATAL_PART, 300))


def is_quarantined(answer):
    """Return whether an answer is a refusal by the quarantine."""
    return answer.error is not None and answer.error.code.value in REFUSALS


def is_refused_for_part(answer):
    """Return whether an answer is the refusal of a part of its prompt, without having run."""
    expected = getattr(ErrorCode, "PROMPT_PART_QUARANTINED", None)
    return answer.error is not None and answer.error.code is expected and answer.promised_not_run
