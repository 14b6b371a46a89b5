"""The placer process: its controller with a clock, its APIs, its links to machines and its shutdown.

The decisions are in `kelpfront.controller`, which has no I/O, and the protocols of the APIs are in
`kelpfront.fronts`. This package connects them with sockets, timers and signals.
"""
