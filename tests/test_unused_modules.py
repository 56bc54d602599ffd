"""A node doesn't load modules that its libraries import and that it never uses."""

import json
import subprocess
import sys
import unittest

from hopstep.unused_modules import UNUSED_MODULES

SCRIPT = """
import json, sys
from hopstep.unused_modules import UnusedModuleError, replace_unused_modules
replace_unused_modules()
from hopstep.cli import node_process
import asyncio, h2.connection
try:
    asyncio.run(None)
except UnusedModuleError as error:
    print(json.dumps([str(error), sorted(
        name for name, module in sys.modules.items() if getattr(module, "__file__", None)
    )]))
"""


def run_script(script):
    """Run a script in a separate process and return its decoded output."""
    command = [sys.executable, "-c", script]
    shown = subprocess.run(command, capture_output=True, text=True, check=True)  # noqa: S603
    return json.loads(shown.stdout)


class UnusedModulesTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.message, cls.loaded = run_script(SCRIPT)

    def test_none_is_loaded_from_a_file(self):
        loaded = [
            name
            for name in self.loaded
            if any(name == unused or name.startswith(f"{unused}.") for unused in UNUSED_MODULES)
        ]
        self.assertEqual(loaded, [])
        self.assertIn("hypercorn.protocol.h11", self.loaded)

    def test_each_would_be_loaded_otherwise(self):
        loaded = run_script(
            "import json, sys; import hopstep.cli.node_process; print(json.dumps([*sys.modules]))"
        )
        self.assertEqual(set(UNUSED_MODULES) - set(loaded), set())

    def test_using_one_is_an_error_that_names_it(self):
        self.assertEqual(self.message, "asyncio.run isn't loaded")


if __name__ == "__main__":
    unittest.main()
