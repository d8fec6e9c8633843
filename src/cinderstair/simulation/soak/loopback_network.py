"""Reserves a part of the loopback network for one run."""

import random
import socket

# The second byte of the addresses.
FIRST_NETWORK, NETWORKS = 20, 200
# No machine of a run has this address, and nothing is sent to it.
GUARD_HOST, GUARD_PORT = "127.{network}.255.254", 9009


class LoopbackNetwork:
    """Holds the second byte of 127.x.0.0/16 that no other run uses, until `close`.

    Two runs with the same addresses would connect to each other's stand-ins.
    """

    def __init__(self) -> None:
        """Raises OSError if all networks are in use."""
        for network in random.SystemRandom().sample(range(FIRST_NETWORK, FIRST_NETWORK + NETWORKS), NETWORKS):
            guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                guard.bind((GUARD_HOST.format(network=network), GUARD_PORT))
            except OSError:
                guard.close()
                continue
            self.byte = network
            self.guard = guard
            return
        raise OSError("all loopback networks of the soak are in use")

    def close(self) -> None:
        """Lets other runs use the network."""
        self.guard.close()
