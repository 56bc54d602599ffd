"""The pages of events and errors agree with the code."""

from __future__ import annotations

import re
import unittest
from collections import Counter

from hopstep.cli.reference_docs import (
    DOCS,
    ERRORS_PAGE,
    EVENTS_PAGE,
    render_errors,
    render_events,
)
from hopstep.exceptions import ERROR_GUIDE, ErrorCode
from hopstep.log_events.catalogue import catalogue


class ReferenceDocsTest(unittest.TestCase):
    def test_pages_are_up_to_date(self) -> None:
        for page, text in ((EVENTS_PAGE, render_events()), (ERRORS_PAGE, render_errors())):
            with self.subTest(page):
                self.assertEqual((DOCS / page).read_text(encoding="utf-8"), text)

    def test_events_have_unique_numbers_and_names(self) -> None:
        for attribute in ("number", "name"):
            counts = Counter(getattr(event, attribute) for event in catalogue())
            self.assertEqual([key for key, count in counts.items() if count > 1], [])

    def test_events_name_what_to_do(self) -> None:
        for event in catalogue():
            with self.subTest(event.number):
                self.assertRegex(event.number, re.compile(r"^HS[1-7]\d{3}$"))
                self.assertTrue(event.action)

    def test_every_code_is_explained(self) -> None:
        self.assertEqual(set(ERROR_GUIDE), set(ErrorCode))


if __name__ == "__main__":
    unittest.main()
