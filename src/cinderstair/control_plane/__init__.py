"""The controller: accepts configurations and heartbeats, relays the register to proxies, assigns proxy ids."""
