"""The placer as a process: its controller with a clock, its APIs, its links to machines, its shutdown.

What is decided lies in `kelpfront.controller`, which has no I/O; how the APIs speak lies in
`kelpfront.fronts`. This package connects them with sockets, timers and signals.
"""
