"""Routes and pools from a control service, by xDS: a client of its aggregated stream."""
