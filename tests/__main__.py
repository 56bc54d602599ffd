"""Run the tests: ``python -m tests [NAME...]``.

Log lines of the code under test are dropped, so that failures are easy to see; tests of logging
configure their own output.
"""

import sys

import structlog

from tests.runner import main

if __name__ == "__main__":
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    sys.exit(main(sys.argv[1:]))
