"""Failure detection on behalf of many placers, with digests that need one bit for each machine.

Nothing in this package does I/O or reads a clock. A failure detector (`detector`) health-checks machines and
encodes the results (`digest`). A placer keeps a view of these results (`view`) and decides for itself which
machines are lost. The sockets are in `kelpfront.failure_detector` and `kelpfront.platform`.
"""
