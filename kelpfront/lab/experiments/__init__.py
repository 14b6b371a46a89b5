"""Experiments: scenarios, variants and seeds, run on all cores, resumable, compared in pairs."""
