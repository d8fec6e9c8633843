"""A simulated platform around booths and guildhalls: clients, backends, operators and streams on virtual time."""
