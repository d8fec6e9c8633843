"""Small cases of the register, the lease and the roster's change, explored exhaustively on the real classes."""
