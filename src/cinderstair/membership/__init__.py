"""Membership by probes and suspicion, and news of backends pulled by vectors of versions."""
