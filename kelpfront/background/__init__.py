"""Background work: which piece of it may run now, within its budget. Not in use yet (issue 16)."""
