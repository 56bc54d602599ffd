import itertools
import socket
import unittest
import unittest.mock

from emulator.fleet.ports import BLOCKS, ReservedPorts


class ReservedPortsTest(unittest.TestCase):
    def reserved(self, first_block=0):
        ports = ReservedPorts(first_block)
        self.addCleanup(ports.close)
        return ports

    def test_concurrent_runs_never_take_the_same_port(self):
        # A node of one run couldn't bind the port that another run's had taken meanwhile.
        one, other = self.reserved(7), self.reserved(7 + BLOCKS)
        drawn = [one.free_addresses(4) + other.free_addresses(4) for _ in range(150)]
        addresses = list(itertools.chain.from_iterable(drawn))
        self.assertEqual(len(set(addresses)), len(addresses))

    def test_a_closed_run_leaves_its_ports_to_others(self):
        first = self.reserved(11)
        addresses = first.free_addresses(1)
        first.close()
        self.assertEqual(self.reserved(11).free_addresses(1), addresses)

    def test_a_bound_port_is_left_out(self):
        ports = self.reserved(13)
        (address,) = ports.free_addresses(1)
        port = int(address.rpartition(":")[2])
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind(("127.0.0.1", port + 1))
            self.assertNotIn(f"127.0.0.1:{port + 1}", ports.free_addresses(3))

    def test_without_any_free_block_it_says_so(self):
        taken = unittest.mock.patch.object(ReservedPorts, "_guard", return_value=False)
        with taken, self.assertRaisesRegex(OSError, "blocks of ports"):
            self.reserved().free_addresses(1)
