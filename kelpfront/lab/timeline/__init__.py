"""The whole program in virtual time: a deterministic event loop, a network in memory, and its own code."""
