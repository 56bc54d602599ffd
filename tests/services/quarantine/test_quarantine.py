"""A node logs when a request begins to be refused, and when it no longer is, and why."""

import unittest

import structlog
import trio
from trio.testing import MockClock

from hopstep.domain.quarantine.crash_records import MEMORY_SECONDS
from hopstep.domain.quarantine.crashes import Crash, RequestCrashes
from hopstep.services.quarantine.quarantine import EXPIRY_SECONDS, Quarantine

FATAL = b"fatal"
OTHER = b"other"


def told(fingerprint, *lives, cleared=()):
    return RequestCrashes(fingerprint, tuple(Crash(life, "n2") for life in lives), cleared)


class LoggedRefusalsTest(unittest.TestCase):
    def run_script(self, script):
        """Return the refusals and releases that were logged: event, request, reason."""

        async def main():
            async with trio.open_nursery() as nursery:
                quarantine = Quarantine("n1")
                nursery.start_soon(quarantine.run)
                await script(quarantine)
                nursery.cancel_scope.cancel()

        with structlog.testing.capture_logs() as lines:
            trio.run(main, clock=MockClock(autojump_threshold=0))
        return [
            (line["number"], bytes.fromhex(line["fingerprint"]), line.get("reason", ""))
            for line in lines
            if line["number"] in ("HS3106", "HS3107")
        ]

    def test_the_beginning_of_a_refusal_is_logged_once(self):
        async def script(quarantine):
            for number in range(6):
                quarantine.take([told(FATAL, f"i{number}")])

        self.assertEqual(self.run_script(script), [("HS3106", FATAL, "")])

    def test_a_release_is_logged_with_its_reason(self):
        async def script(quarantine):
            for reason in ("answered", "lifted", "told"):
                lives = [f"{reason}{number}" for number in range(3)]
                quarantine.take([told(FATAL, *lives)])
                if reason == "answered":
                    quarantine.note_whole_answer(FATAL)
                elif reason == "lifted":
                    quarantine.lift(FATAL)
                else:
                    quarantine.take([told(FATAL, cleared=lives)])

        lines = self.run_script(script)
        self.assertEqual(
            [reason for number, _, reason in lines if number == "HS3107"],
            ["answered", "lifted", "answered"],
        )

    def test_a_request_is_released_when_another_one_explains_its_ends(self):
        async def script(quarantine):
            quarantine.take([told(OTHER, "j1", "j2", "i4")])
            quarantine.take([told(FATAL, "i1", "i2", "i3", "i4")])
            self.assertEqual(quarantine.refused_seconds(OTHER), 0.0)

        self.assertEqual(
            self.run_script(script),
            [("HS3106", OTHER, ""), ("HS3106", FATAL, ""), ("HS3107", OTHER, "explained")],
        )

    def test_a_refusal_that_runs_out_is_logged(self):
        async def script(quarantine):
            quarantine.take([told(FATAL, "i1", "i2", "i3")])
            await trio.sleep(MEMORY_SECONDS + 2 * EXPIRY_SECONDS)

        self.assertEqual(
            self.run_script(script), [("HS3106", FATAL, ""), ("HS3107", FATAL, "expired")]
        )


if __name__ == "__main__":
    unittest.main()
