"""The controller: takes orders and beats, relays the register to proxies, assigns ids."""
