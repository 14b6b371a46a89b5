"""The failure detector as a program: it health-checks machines and sends placers digests of the outcome.

What is decided is in `kelpfront.failure_detection`; here are its configuration, its sockets and its tasks. It
follows the coordinator's endpoint list as placers do, by the modules of `kelpfront.platform`.
"""
