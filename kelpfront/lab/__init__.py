"""The laboratory: stand-in machines, scripted bad days, recordings of what goes over sockets, their judge."""
