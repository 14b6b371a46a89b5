"""HTTP/1.1 over asyncio and h11: client connections, a connection pool and a server with limits.

The package does not interpret requests. The REST API and the protocol of the machines are built on it.
"""
