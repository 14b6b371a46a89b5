"""HTTP/1.1 over asyncio and h11: client connections, a pool of them, and a server with bounds.

It knows nothing of what requests mean; the REST API and the machines' protocol are built on it.
"""
