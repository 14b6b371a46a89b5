"""HTTP/1.1 over asyncio streams; h11 parses. A server and a pool of client connections, both bounded."""
