"""Reports of experiments: plots and one page that needs nothing else."""
