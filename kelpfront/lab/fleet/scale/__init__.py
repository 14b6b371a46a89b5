"""One placer measured at the sizes of a whole fleet: hollow processes put the rest of the load beside it."""
