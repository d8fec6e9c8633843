"""The crier: who is in the market, and what the backends last said."""
