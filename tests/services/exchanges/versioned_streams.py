"""Clients that resume broken streams at any node of a world with several software versions."""

import random
from collections import Counter

import msgspec
import trio

from tests.services.exchanges.exchange_world import KEY, ExchangeWorld, RecordedAnswer

ROUTE = "resumable"
CLIENT_TRIES = 4
CLIENT_SECONDS = 2.8
"""Seconds in which a client tries to get its stream; less than the route's timeout."""

PAUSE_SECONDS = 0.05
"""Seconds between two tries of a client."""

LEAST_SERVING = 2
"""Engines of a version from which the users' rule expects its streams to go on."""

EVENTS = 20
EVENT_SECONDS = 0.05


class Shares(msgspec.Struct):
    """How many tries got an event.

    Attributes:
        tried: Tries that were made.
        went_on: Those of them that brought an event.
    """

    tried: int = 0
    went_on: int = 0

    def count(self, went_on):
        self.tried += 1
        self.went_on += went_on

    @property
    def share(self):
        return self.went_on / max(1, self.tried)


class ClientStream:
    """One stream of a client, over all of its tries.

    Attributes:
        origin: Id of the try that brought the first event; empty before that.
        began_at: When that event came.
        last_event: Number of the last event that the client has; empty before the first.
        events: Request id and number of each event that the client has.
        errors: Refusals, in order.
        complete: Whether it has the whole stream.
    """

    def __init__(self, name):
        self.name = name
        self.origin = ""
        self.began_at = float("inf")
        self.last_event = ""
        self.events = []
        self.errors = []
        self.complete = False

    def take(self, request_id, answer):
        """Take the complete events of one try; return whether it brought any."""
        ids = [int(line[3:]) for line in answer.body.decode().splitlines() if line[:3] == "id:"]
        if ids and not self.origin:
            self.origin = request_id
            self.began_at = answer.started_at
        self.events += [(request_id, number) for number in ids]
        self.last_event = str(ids[-1]) if ids else self.last_event
        self.complete = answer.finished
        if answer.error is not None:
            self.errors.append(answer.error)
        return bool(ids)


class VersionedStreams:
    """A world whose clients hold streams.

    Attributes:
        world: The nodes and instances.
        streams: All streams that clients began.
        began: Tries of new streams.
        resumed: Tries that resume a stream.
        all_killed_at: When no node was alive any more; None as long as one was.
    """

    def __init__(self, nodes=3, seed=1, zones=1):
        self.world = ExchangeWorld(nodes, seed=seed, zones=zones)
        self.streams = []
        self.began = Shares()
        self.resumed = Shares()
        self.generator = random.Random(seed)
        self.all_killed_at = None
        self._tries = {number: set() for number in range(nodes)}
        self._dead = set()
        self._started = 0
        self._restarted = trio.Event()

    def add(self, instance_id, version, **options):
        """Start and list an engine."""
        values = {"slots": 32, **options}
        server = self.world.add(instance_id, "llm", software_version=version, **values)
        server.events = EVENTS
        server.event_seconds = EVENT_SECONDS
        return server

    def kill_node(self, number):
        """Kill a node; the connections of its clients break."""
        self._dead.add(number)
        if len(self._dead) == len(self._tries):
            self.all_killed_at = trio.current_time()
        self.world.kill_node(number)
        for scope in self._tries[number]:
            scope.cancel()

    def restart_node(self, number):
        """Start a killed node again."""
        self.world.restart_node(number)
        self._dead.discard(number)
        self._restarted.set()
        self._restarted = trio.Event()

    async def a_node(self):
        """Return a live node, at random; wait while there is none."""
        while len(self._dead) == len(self._tries):
            await self._restarted.wait()
        return self.generator.choice([n for n in self._tries if n not in self._dead])

    def crash(self, server, version):
        """End an engine, and start another one with a software version; return that one."""
        server.end()
        self._started += 1
        return self.add(f"x{self._started}", version)

    async def crash_in_turn(self, seconds, every=0.3):
        """Crash one engine after the other; what starts has any of the versions.

        Of each version ``LEAST_SERVING`` engines run at any time.
        """
        versions = sorted({server.instance.software_version for server in self.servers()})
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            await trio.sleep(every)
            server, version = self.generator.choice(self.servers()), self.generator.choice(versions)
            crashed = server.instance.software_version
            if self.count_serving(crashed) <= LEAST_SERVING:
                version = crashed
            self.crash(server, version)

    def count_serving(self, version):
        """Return the number of engines of a version that run."""
        return sum(server.instance.software_version == version for server in self.servers())

    def servers(self):
        """Return the engines that run."""
        return [s for s in self.world.instances.all_servers if s.ended_at is None]

    async def stream(self, node=None, leave_after=None, resume_node=None, tries=CLIENT_TRIES):
        """Hold one stream, and resume it when it breaks.

        Args:
            node: Node of the first try; None for any.
            leave_after: Seconds after which the client breaks its first connection; None for never.
            resume_node: Node of all further tries; None for any.
            tries: Highest number of tries.

        Returns:
            The stream.
        """
        stream = ClientStream(f"s{len(self.streams)}")
        self.streams.append(stream)
        until = trio.current_time() + CLIENT_SECONDS
        for number in range(tries):
            chosen = node if number == 0 else resume_node
            await self._try(stream, f"{stream.name}-{number}", chosen, until, leave_after)
            leave_after = None
            await trio.sleep(PAUSE_SECONDS)
            if stream.complete or trio.current_time() >= until:
                break
        return stream

    async def _try(self, stream, request_id, node, until, leave_after):
        """Make one try of a stream."""
        node = await self.a_node() if node is None or node in self._dead else node
        shares = self.resumed if stream.origin else self.began
        answer = RecordedAnswer()
        scope = trio.CancelScope()
        if leave_after is not None:
            scope.deadline = trio.current_time() + leave_after
        self._tries[node].add(scope)
        with scope:
            await self.world.request(
                ROUTE,
                node,
                KEY,
                request_id,
                stream.last_event,
                until - trio.current_time(),
                answer,
                stream.name.encode(),
                resumes=stream.origin,
            )
        self._tries[node].discard(scope)
        shares.count(stream.take(request_id, answer))

    def versions(self, stream):
        """Return the software versions whose events a stream holds."""
        sent = {
            (event.request_id, event.number): event.software_version
            for server in self.world.instances.all_servers
            for event in server.sent_events
        }
        return {sent[event] for event in stream.events}

    def resumed_within(self):
        """Return how many streams went on at another instance within one answer, to their end."""
        runs = Counter(run.request_id for s in self.world.instances.all_servers for run in s.runs)
        ids = {request_id for s in self.streams if s.complete for request_id, _number in s.events}
        return sum(runs[request_id] > 1 for request_id in ids)

    def lost(self, older_than):
        """Return the streams that were open when all nodes died, for longer, and never completed.

        Args:
            older_than: Seconds between the first event of a stream and the death of all nodes.
        """
        began_by = self.all_killed_at - older_than
        return [s.name for s in self.streams if not s.complete and s.began_at < began_by]

    def mixed(self):
        """Return the names of the streams that hold events of several software versions."""
        return [stream.name for stream in self.streams if len(self.versions(stream)) > 1]
