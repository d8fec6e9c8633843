"""Simulators, stand-ins for outside systems, checkers, the explorer, the capacity tool and a fleet runner."""
