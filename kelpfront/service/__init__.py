"""The placer as a process: its sockets to machines, its REST front, its life from start to SIGTERM."""
