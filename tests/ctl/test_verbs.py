import random
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

import httpx
import msgspec

from emulator.platform.faults import FaultOrder
from emulator.platform.in_memory import InMemoryStore
from emulator.platform.shared_store import SharedStore
from emulator.virtual_time import run_in_virtual_time
from hopstep.ctl.documents import write_configuration
from hopstep.ctl.editing import (
    ApplyDocument,
    ChangeAttributes,
    apply_file,
    diff_file,
    drain_back_end,
    validate_file,
)
from hopstep.ctl.reading import ExplainDocument, explain, show, show_history
from hopstep.ctl.results import ExitCode, VerbResult
from hopstep.ctl.status import RouterStatus, StatusDocument, show_status
from hopstep.domain.configuration.document import Configuration
from hopstep.domain.configuration.restoration import DisplacedChange
from hopstep.exceptions import ValidationError
from hopstep.services.configuration.store import ConfigurationStore
from tests.services.configuration_samples import document, engine, first_change


class Operator:
    """An operator with files and a store."""

    def __init__(self, directory: Path) -> None:
        self.shared = SharedStore()
        self.store = ConfigurationStore(InMemoryStore(self.shared), random.Random(0))
        self.directory = directory

    def file(self, configuration: Configuration) -> Path:
        path = self.directory / "configuration.json"
        path.write_text(write_configuration(configuration), encoding="utf-8")
        return path

    async def apply(
        self, configuration: Configuration, change_id: str, base: int | None = None
    ) -> VerbResult:
        attributes = ChangeAttributes(change_id, "me", "why", base)
        return await apply_file(self.store, self.file(configuration), attributes)


def resized(index: int, capacity: int) -> Configuration:
    back_ends = list(document().back_ends)
    back_ends[index] = engine(index, capacity)
    return msgspec.structs.replace(document(), back_ends=tuple(back_ends))


class VerbsTest(unittest.TestCase):
    def run_scenario(self, scenario: Callable[[Operator], Awaitable[None]]) -> None:
        with tempfile.TemporaryDirectory() as directory:
            run_in_virtual_time(scenario, Operator(Path(directory)))

    def check(self, result: VerbResult, exit_code: ExitCode, *texts: str) -> None:
        self.assertEqual(result.exit_code, exit_code, result.text)
        for text in texts:
            self.assertIn(text, result.text)
        msgspec.json.encode(result.document)

    def test_apply_races_and_resubmission(self) -> None:
        async def scenario(operator: Operator) -> None:
            self.check(await operator.apply(document(), "1"), ExitCode.OK, "revision 1")
            self.check(await operator.apply(document(), "2"), ExitCode.OK, "unchanged")
            self.check(await operator.apply(resized(0, 5), "3", 1), ExitCode.OK, "revision 2")
            self.check(await operator.apply(resized(1, 5), "4", 1), ExitCode.OK, "revision 3")
            conflict = await operator.apply(resized(0, 6), "5", 1)
            self.check(conflict, ExitCode.REJECTED, "conflict with revision 2 by me", "5 -> 6")
            again = await operator.apply(resized(0, 5), "3", 1)
            self.check(again, ExitCode.OK, "revision 2")
            other = await operator.apply(resized(0, 7), "3", 1)
            self.check(other, ExitCode.REJECTED, "other edits")
            self.check(await show_history(operator.store), ExitCode.OK, "3  me  why")
            with self.assertRaisesRegex(ValidationError, "from 0 to 3"):
                await operator.apply(document(), "6", 99)
            self.check(await show(operator.store, 1), ExitCode.OK, '"engine-0"')

        self.run_scenario(scenario)

    def test_unknown_outcome_tells_how_to_find_out(self) -> None:
        async def scenario(operator: Operator) -> None:
            await operator.apply(document(), "1")
            operator.shared.order_faults(FaultOrder(lost_requests=10_000))
            result = await operator.apply(resized(0, 5), "2")
            self.check(result, ExitCode.UNKNOWN, "--change_id 2 --base_revision 1")
            operator.shared.order_faults(FaultOrder(lost_requests=0))
            result = await operator.apply(resized(0, 5), "2", 1)
            self.check(result, ExitCode.OK, "revision 2")

        self.run_scenario(scenario)

    def test_validate_and_diff(self) -> None:
        async def scenario(operator: Operator) -> None:
            self.check(validate_file(operator.file(document())), ExitCode.OK, "valid")
            bad = msgspec.structs.replace(document(), models=())
            self.check(validate_file(operator.file(bad)), ExitCode.BAD_INPUT, "models[0]")
            self.check(await operator.apply(bad, "1"), ExitCode.BAD_INPUT, "models[0]")
            path = operator.file(document())
            self.check(await diff_file(operator.store, path), ExitCode.OK, "add tenants t")
            for text in ("{", '{"tenants": 1}', ""):
                path.write_text(text, encoding="utf-8")
                self.assertRaises(ValidationError, validate_file, path)

        self.run_scenario(scenario)

    def test_drain_and_explain(self) -> None:
        async def scenario(operator: Operator) -> None:
            await operator.apply(document(), "1")
            attributes = ChangeAttributes("2", "me", "")
            result = await drain_back_end(operator.store, "engine-1", True, attributes)
            self.check(result, ExitCode.OK, "revision 2")
            latest = (await operator.store.read_history()).latest
            explained = explain(latest, "t", "", "m")
            assert isinstance(explained.document, ExplainDocument)
            engines = explained.document.placements[0]
            self.assertEqual(engines.admissible, ("engine-0", "engine-2"))
            self.check(explained, ExitCode.OK, "not engine-1: leaving")
            attributes = ChangeAttributes("3", "me", "")
            result = await drain_back_end(operator.store, "engine-1", False, attributes)
            assert isinstance(result.document, ApplyDocument)
            self.assertEqual(result.document.revision, 3)
            other = await drain_back_end(operator.store, "engine-0", False, attributes)
            self.check(other, ExitCode.REJECTED, "other edits")
            attributes = ChangeAttributes("4", "me", "")
            with self.assertRaisesRegex(ValidationError, "no back end"):
                await drain_back_end(operator.store, "none", True, attributes)

        self.run_scenario(scenario)

    def test_status_shows_each_router(self) -> None:
        def answer(request: httpx.Request) -> httpx.Response:
            if request.url.port == 1:
                return httpx.Response(200, json={"name": "r", "revision": 7, "ready": True})
            raise httpx.ConnectError("refused")

        async def scenario(_operator: Operator) -> None:
            async with httpx.AsyncClient(transport=httpx.MockTransport(answer)) as client:
                result = await show_status(client, ["127.0.0.1:1", "127.0.0.1:2"])
            self.check(result, ExitCode.UNAVAILABLE, "ready  revision 7", "unreachable")
            assert isinstance(result.document, StatusDocument)
            self.assertEqual([item.reachable for item in result.document.routers], [True, False])

        self.run_scenario(scenario)


class StatusLineTest(unittest.TestCase):
    def test_a_change_that_a_restore_took_away_is_shown_with_the_one_in_its_place(self):
        lost = str(DisplacedChange(2, first_change(), "c9", "ops"))
        shown = str(RouterStatus("a:1", True, "r1", displaced=(lost,)))
        expected = "lost by a restore: revision 2: first by tests; in its place: c9 by ops"
        self.assertIn(expected, shown)
