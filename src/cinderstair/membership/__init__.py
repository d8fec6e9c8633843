"""Group membership by probes and suspicion, backends' heartbeats, and the records between proxies and controllers."""
