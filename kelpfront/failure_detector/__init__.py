"""The failure detector program: health-checks machines and sends digests of the results to placers.

The decisions are made in `kelpfront.failure_detection`. This package holds the configuration, the sockets and
the asyncio tasks. The program follows the coordinator's endpoint list in the same way as placers do, with
modules of `kelpfront.platform`.
"""
