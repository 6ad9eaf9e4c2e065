"""Long measurements, each a command; no part of CI.  Machines are noisy: figures are ratios from one run."""
