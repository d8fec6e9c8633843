"""The fairground: the tests' world. Stand-in backends, platform and callers; a simulator; a fleet runner."""
