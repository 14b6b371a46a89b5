"""The load tool: open-loop arrivals on real sockets, and the highest rate that is kept."""
