"""Many processes of the program on loopback, faults between them, and what they do to what they share."""
