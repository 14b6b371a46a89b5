"""Alias of `kelpfront.failure_detector`: operators start the failure detector by this name."""
