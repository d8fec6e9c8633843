"""A simulated platform around proxies and controllers: clients, backends, operators and streams on virtual time."""
