"""Which kept connections may carry another call."""

import unittest

from hopstep.domain.connection_reuse import (
    MAX_ADDRESSES,
    SINGLE_USE_SECONDS,
    SentIdentifiers,
    SingleUseAddresses,
)


class SingleUseAddressesTest(unittest.TestCase):
    def test_an_address_is_included_for_a_while_after_its_last_surplus_bytes(self):
        addresses = SingleUseAddresses()
        addresses.note_surplus("a", 10.0)
        addresses.note_surplus("a", 12.0)
        self.assertTrue(addresses.includes("a", 12.0 + SINGLE_USE_SECONDS - 0.1))
        self.assertFalse(addresses.includes("b", 12.0))
        self.assertFalse(addresses.includes("a", 12.0 + SINGLE_USE_SECONDS))

    # Addresses of instances that are gone could pile up.
    def test_the_number_of_addresses_is_bounded(self):
        addresses = SingleUseAddresses()
        for number in range(MAX_ADDRESSES + 1):
            addresses.note_surplus(str(number), 0.0)
        self.assertFalse(addresses.includes("0", 0.1))
        self.assertTrue(addresses.includes(str(MAX_ADDRESSES), 0.1))


class SentIdentifiersTest(unittest.TestCase):
    def test_only_calls_with_an_identifier_are_remembered(self):
        sent = SentIdentifiers()
        sent.add(b"r1")
        sent.add(b"")
        self.assertIn(b"r1", sent)
        self.assertNotIn(b"r2", sent)
        self.assertNotIn(b"", sent)
