"""Failure detection on behalf of many placers, by digests that cost a bit for each machine.

Pure: nothing here does I/O or reads a clock. A failure detector (`detector`) health-checks machines and
encodes what it learned (`digest`); a placer keeps a view of it (`view`) and decides for itself which machines
are lost. The sockets are in `kelpfront.failure_detector` and in `kelpfront.platform`.
"""
