"""The controller: takes orders and heartbeats, relays the register to proxies, assigns ids."""
