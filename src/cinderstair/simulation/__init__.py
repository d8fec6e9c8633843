"""Simulators, stand-ins for external systems, checkers, the state explorer, the capacity tool and a fleet runner."""
