"""Identifiers of requests in the forms in which instances repeat them."""

import unittest

from hopstep.platform import names
from hopstep.platform.request_ids import repeated_forms, with_exact_id

ID = b"r\xe9"
WRITTEN = "ré".encode()
OTHER = (b"X-Other", WRITTEN)


class RequestIdsTest(unittest.TestCase):
    def test_an_id_in_ascii_has_one_form(self):
        for identifier in (b"", b"9c41d07b", b"a b!"):
            self.assertEqual(repeated_forms(identifier), (identifier,))
            headers = [(b"Attempt-Id", identifier), OTHER]
            self.assertIs(with_exact_id(headers, identifier), headers)

    def test_a_client_gets_back_the_id_that_it_sent(self):
        # The answer of an instance that writes headers in UTF-8 seemed to be another request's.
        self.assertEqual(repeated_forms(ID), (ID, WRITTEN))
        for name in (names.REQUEST_ID, names.REQUEST_ID.title()):
            for value in (ID, WRITTEN):
                with self.subTest(name=name, value=value):
                    headers = with_exact_id([(name, value), OTHER], ID)
                    self.assertEqual(headers, [(name, ID), OTHER])

    def test_an_answer_to_another_request_keeps_its_id(self):
        for identifier, value in ((ID, b"r"), (ID, WRITTEN + b"x"), (b"r", WRITTEN)):
            headers = [(names.REQUEST_ID, value)]
            self.assertEqual(with_exact_id(headers, identifier), headers)


if __name__ == "__main__":
    unittest.main()
